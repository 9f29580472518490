"""Helpers that write and modify deployments for tests."""

import json
import re
from pathlib import Path
from typing import Any

from tools.make_deployment import Deployment, make_deployment

BUNDLE = Path('examples/bundles/mokoena.json')


def deploy(folder: Path, *, disks: int = 3) -> Deployment:
    """Write a deployment with fixed ports; nothing listens on them."""
    return make_deployment(
        folder, bundle_path=BUNDLE, base_port=18000, disks=disks
    )


def change(path: Path, field: str, value: Any) -> Path:
    """Set one field, named as ``peers[2].zone``, of a JSON file.

    An index after the last entry of a list appends the value.
    """
    document = json.loads(path.read_text())
    *parents, last = [
        int(step) if step.isdigit() else step
        for step in re.findall(r'[^.\[\]]+', field)
    ]
    target = document
    for step in parents:
        target = target[step]
    if isinstance(last, int) and last == len(target):
        target.append(value)
    else:
        target[last] = value
    path.write_text(json.dumps(document))
    return path
