"""Transitions of bundle versions: written, signed, in force, superseded."""

from collections.abc import Mapping
from typing import TypeAlias

import msgspec

from mangotrail._messages import BundleRecord, BundleState, WriteBundle
from mangotrail.bundle import bundle_digest
from mangotrail.errors import (
    BundleConflictError,
    BundleStateError,
    UnknownObjectError,
)

Bundles: TypeAlias = Mapping[int, BundleRecord]

# Older versions are dropped: at 1,400 changes a day they would not fit.
KEPT_BUNDLES = 32


def newest_version(bundles: Bundles) -> int:
    """Return the newest version, 0 if there is none."""
    return max(bundles, default=0)


def new_record(
    bundles: Bundles, body: WriteBundle, time_s: float
) -> BundleRecord:
    """Return the record of a new version.

    :raises BundleConflictError: if the parent is not the newest version.
    """
    newest = newest_version(bundles)
    digest = bundles[newest].digest if newest else ''
    if (body.parent_version, body.parent_digest) != (newest, digest):
        winner = bundles.get(newest)
        raise BundleConflictError(
            'the bundle was not written on top of the newest version',
            field='parent_version',
            value=body.parent_version,
            allowed=f'version {newest} with digest {digest or "(none)"}',
            remedy='read the newest bundle'
            f' (by {winner.operator if winner else "nobody"})'
            ' and write the change on top of it',
        )
    return BundleRecord(
        version=newest + 1,
        digest=bundle_digest(body.bundle),
        parent_version=newest,
        parent_digest=digest,
        state=BundleState.WRITTEN,
        operator=body.operator,
        written_s=time_s,
        encoded=msgspec.json.encode(body.bundle),
    )


def require_state(
    bundles: Bundles, version: int, digest: str, needed: BundleState
) -> BundleRecord:
    """Return a version that is in the needed state.

    :raises UnknownObjectError: if there is no such version.
    :raises BundleConflictError: if the digest belongs to another content.
    :raises BundleStateError: if the version is in another state.
    """
    record = bundles.get(version)
    if record is None:
        raise UnknownObjectError(
            'there is no such bundle version',
            field='version',
            value=version,
            allowed=f'1 to {newest_version(bundles)}',
            remedy='list the bundles',
        )
    if record.digest != digest:
        raise BundleConflictError(
            'the digest belongs to another bundle',
            field='digest',
            value=digest,
            allowed=record.digest,
            remedy='read this version again and check its content',
        )
    if record.state is not needed:
        raise BundleStateError(
            f'the bundle version is {record.state.value}',
            field='version',
            value=version,
            allowed=f'a version that is {needed.value}',
            remedy='write, sign and roll out in this order',
        )
    return record


def check_newer(record: BundleRecord, in_force: int) -> None:
    """Check that a roll-out does not bring an older version back.

    :raises BundleStateError: if a newer version is in force.
    """
    if record.version < in_force:
        raise BundleStateError(
            'a newer bundle is in force and is never reverted',
            field='version',
            value=record.version,
            allowed=f'a version above {in_force}',
            remedy='write the content again as a new version',
        )


def versions_to_drop(bundles: Bundles, in_force: int) -> tuple[int, ...]:
    """Return the versions that are too old to keep."""
    excess = max(len(bundles) - KEPT_BUNDLES, 0)
    oldest = sorted(bundles)[:excess]
    return tuple(version for version in oldest if version != in_force)
