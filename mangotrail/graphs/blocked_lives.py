"""Worker lives that may not take runs because another life is registered."""

from mangotrail._graphs import WorkerSpec
from mangotrail.graphs.state import GraphState
from mangotrail.ids import LifeId, WorkerId


def blocked_lives(state: GraphState) -> set[LifeId]:
    """Return the lives that must not get runs while another life is registered.

    A life with a successor has ended. A successor at the same address may have
    received orders that were meant for its predecessor, so its free capacity is
    unknown until the ends of the predecessor's runs are committed.
    """
    occupied = {run.life for run in state.runs.values()}
    newest: dict[WorkerId, WorkerSpec] = {}
    for registered in state.workers.values():
        known = newest.setdefault(registered.spec.worker, registered.spec)
        if registered.spec.born_ms > known.born_ms:
            newest[registered.spec.worker] = registered.spec
    blocked = set()
    for life, registered in state.workers.items():
        successor = newest[registered.spec.worker]
        if successor.life != life:
            blocked.add(life)
            if (
                life in occupied
                and successor.address == registered.spec.address
            ):
                blocked.add(successor.life)
    return blocked
