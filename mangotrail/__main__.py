"""Runs the command line as ``python -m mangotrail``."""

import sys

from mangotrail.cli import run

sys.exit(run())
