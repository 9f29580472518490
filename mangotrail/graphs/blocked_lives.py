"""Lives of workers of which two are known at a time."""

from mangotrail._graphs import WorkerSpec
from mangotrail.graphs.state import GraphState
from mangotrail.ids import LifeId, WorkerId


def blocked_lives(state: GraphState) -> set[LifeId]:
    """Return lives that take no runs because of another life of theirs.

    A life that another one followed is over. The one that followed may run
    what was meant for the one before, so that what is free on it is not known
    until the runs of the one before are settled.
    """
    unsettled = {run.life for run in state.runs.values()}
    newest: dict[WorkerId, WorkerSpec] = {}
    for held in state.workers.values():
        other = newest.setdefault(held.spec.worker, held.spec)
        if held.spec.born_ms > other.born_ms:
            newest[held.spec.worker] = held.spec
    unclear = set()
    for life, held in state.workers.items():
        follower = newest[held.spec.worker]
        if follower.life != life:
            unclear.add(life)
            if life in unsettled and follower.address == held.spec.address:
                unclear.add(follower.life)
    return unclear
