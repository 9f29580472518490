"""Base class of the generated message, settings and bundle types."""

from msgspec import Struct


class FrozenStruct(Struct, frozen=True, forbid_unknown_fields=True):
    """An immutable value that rejects fields its schema does not define."""
