"""Validates a bundle and prints its digest, capacity and guarantees.

Run as ``python -m examples.check_bundle examples/bundles/mokoena.json``.
"""

import sys

from mangotrail.bundle import bundle_digest, load_bundle


def describe(path: str) -> str:
    """Return the digest, capacity and guarantees of a bundle as text.

    :raises InvalidBundleError: if the bundle cannot be used.
    """
    bundle = load_bundle(path)
    lines = [f'digest {bundle_digest(bundle)}']
    for zone in bundle.zones:
        accelerators = sum(
            len(rack.workers) * rack.accelerators for rack in zone.racks
        )
        lines.append(f'zone {zone.zone}: {accelerators} accelerators')
    for account in bundle.accounts:
        guaranteed = sum(
            shape.accelerators * shape.count for shape in account.guarantees
        )
        lines.append(f'account {account.account}: {guaranteed} guaranteed')
    return '\n'.join(lines)


if __name__ == '__main__':
    print(describe(sys.argv[1]))
