"""Workers and leases of the platform stand-in."""

import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Any

from mangotrail._bundle import Bundle

# Tasks report usage with this lag.
USAGE_LAG_S = 2.0
CHECKPOINT_S = 0.5


@dataclass(kw_only=True)
class Worker:
    """A worker and the accelerators that leases hold of it."""

    id: str
    rack: str
    zone: str
    accelerators: int
    slots: int
    healthy: bool = True
    fails: bool = False
    refuses: bool = False
    lease_by_accelerator: dict[int, str] = field(default_factory=dict)
    leases: set[str] = field(default_factory=set)


@dataclass(kw_only=True)
class Task:
    """One member of a gang."""

    worker: str
    accelerators: tuple[int, ...]
    began: bool = False
    running: bool = False
    checkpointed_at_s: float | None = None


@dataclass(kw_only=True)
class Lease:
    """A gang and the time at which it stops by itself."""

    lease: str
    gang: str
    expires_s: float
    state: str = 'prepared'
    reason: str = ''
    lost_worker: str | None = None
    began_at_s: float = 0
    share: float = 1
    tasks: list[Task] = field(default_factory=list)


class PlatformStandIn:
    """All workers, all leases and a record of what happened.

    :param bundle: names the zones, racks and workers.
    :param now: the platform's own clock in seconds.
    """

    def __init__(
        self, *, bundle: Bundle, now: Callable[[], float] | None = None
    ) -> None:
        # The offset keeps this clock apart from those of the instances.
        self.now = now or (lambda: time.monotonic() + 1_000_000)
        self.workers: dict[str, Worker] = {}
        self.leases: dict[str, Lease] = {}
        self.begins: list[dict[str, Any]] = []
        self.ends: list[dict[str, Any]] = []
        self.calls: dict[str, int] = {}
        for zone in bundle.zones:
            for rack in zone.racks:
                for worker in rack.workers:
                    self.workers[worker] = Worker(
                        id=worker,
                        rack=rack.rack,
                        zone=zone.zone,
                        accelerators=rack.accelerators,
                        slots=zone.slots,
                    )

    def prepare(self, body: dict[str, Any]) -> list[dict[str, Any]]:
        """Hold the resources of all members, or of none."""
        lease = self.leases.get(body['lease'])
        if lease is None:
            lease = Lease(
                lease=body['lease'],
                gang=body['gang'],
                expires_s=self.now() + body['ttl_s'],
                tasks=[
                    Task(
                        worker=member['worker'],
                        accelerators=tuple(member['accelerators']),
                    )
                    for member in body['members']
                ],
            )
            results = [self._check_free(task) for task in lease.tasks]
            if not all(result['ok'] for result in results):
                return results
            self.leases[lease.lease] = lease
            self._hold(lease)
        ok = lease.state == 'prepared'
        return [
            _result(task, ok=ok, reason='' if ok else f'lease is {lease.state}')
            for task in lease.tasks
        ]

    def begin(self, body: dict[str, Any]) -> list[dict[str, Any]]:
        """Begin each member unless it is too late."""
        lease = self.leases.get(body['lease'])
        if lease is None:
            return []
        results = []
        for task in lease.tasks:
            problem = self._begin_problem(lease, task, body['begin_by'])
            if not problem and not task.began:
                self._begin_task(lease, task)
            results.append(_result(task, ok=not problem, reason=problem))
        if all(task.began for task in lease.tasks):
            lease.state = 'begun'
        return results

    def renew(self, body: dict[str, Any]) -> list[dict[str, Any]]:
        """Put off the end of each lease that has not ended."""
        results = []
        for name in body['leases']:
            lease = self.leases.get(name)
            ok = lease is not None and lease.state != 'ended'
            if lease is not None and ok:
                lease.expires_s = self.now() + body['ttl_s']
            reason = lease.reason if lease else 'unknown lease'
            results.append({
                'lease': name,
                'ok': ok,
                'reason': '' if ok else reason,
                'worker': lease.lost_worker if lease else None,
            })
        return results

    def stop(self, body: dict[str, Any]) -> list[dict[str, Any]]:
        """End a lease; one that is unknown can never be prepared either."""
        lease = self.leases.setdefault(
            body['lease'], Lease(lease=body['lease'], gang='', expires_s=0)
        )
        self._end(lease, body['reason'])
        return [_result(task, ok=True) for task in lease.tasks]

    def checkpoint(self, body: dict[str, Any]) -> list[dict[str, Any]]:
        """Let each running member save its progress."""
        lease = self.leases.get(body['lease'])
        if lease is None:
            return []
        for task in lease.tasks:
            if task.running and task.checkpointed_at_s is None:
                task.checkpointed_at_s = self.now() + CHECKPOINT_S
        return [_result(task, ok=task.running) for task in lease.tasks]

    def throttle(self, body: dict[str, Any]) -> list[dict[str, Any]]:
        """Bound the share of the workers that a lease uses."""
        lease = self.leases.get(body['lease'])
        if lease is None:
            return []
        lease.share = body['share']
        return [_result(task, ok=task.running) for task in lease.tasks]

    def show_lease(self, name: str) -> dict[str, Any]:
        """Return the state of a lease."""
        lease = self.leases.get(name)
        if lease is None:
            return {'lease': name, 'state': 'unknown', 'members': []}
        now_s = self.now()
        members = [
            {
                'worker': task.worker,
                'began': task.began,
                'running': task.running,
                'checkpointed': task.checkpointed_at_s is not None
                and task.checkpointed_at_s <= now_s,
            }
            for task in lease.tasks
        ]
        return {'lease': name, 'state': lease.state, 'members': members}

    def show_workers(self, zone: str | None) -> list[dict[str, Any]]:
        """Return the workers of a zone, or of all zones."""
        return [
            {
                'id': worker.id,
                'rack': worker.rack,
                'zone': worker.zone,
                'healthy': worker.healthy,
                'used_slots': len(worker.leases),
                'used_connections': len(worker.leases),
            }
            for worker in self.workers.values()
            if zone in {None, worker.zone}
        ]

    def show_usage(self, zone: str | None) -> list[dict[str, Any]]:
        """Return the usage of the running gangs of a zone."""
        return [
            {
                'lease': lease.lease,
                'measured_s': self.now() - lease.began_at_s - USAGE_LAG_S,
                'cores': 4.0 * len(lease.tasks),
                'memory_gb': 16.0 * len(lease.tasks),
                'accelerator_share': lease.share,
            }
            for lease in self.leases.values()
            if lease.state == 'begun'
            and zone in {None, self.workers[lease.tasks[0].worker].zone}
            and self.now() - lease.began_at_s > USAGE_LAG_S
        ]

    def set_fault(self, body: dict[str, Any]) -> None:
        """Set or clear the faults of a worker or of all workers of a zone."""
        for worker in self.workers.values():
            if body.get('worker', worker.id) != worker.id:
                continue
            if body.get('zone', worker.zone) != worker.zone:
                continue
            worker.fails = body.get('fails', worker.fails)
            worker.refuses = body.get('refuses', worker.refuses)
            if 'lost' in body:
                worker.healthy = not body['lost']
                self._end_leases_on(worker, lost=body['lost'])

    def expire(self) -> None:
        """End the leases that were not renewed in time."""
        now_s = self.now()
        for lease in tuple(self.leases.values()):
            if lease.state != 'ended' and lease.expires_s <= now_s:
                self._end(lease, 'lease expired')

    def records(self) -> dict[str, Any]:
        """Return what happened so far."""
        return {
            'time_s': self.now(),
            'begins': self.begins,
            'ends': self.ends,
            'calls': self.calls,
            'leases': [asdict(lease) for lease in self.leases.values()],
        }

    def _check_free(self, task: Task) -> dict[str, Any]:
        worker = self.workers.get(task.worker)
        problem = ''
        if worker is None:
            problem = 'unknown worker'
        elif not worker.healthy:
            problem = 'worker lost'
        elif worker.refuses:
            problem = 'prepare refused'
        elif len(worker.leases) >= worker.slots:
            problem = 'no free slot'
        elif any(
            index in worker.lease_by_accelerator or index >= worker.accelerators
            for index in task.accelerators
        ):
            problem = 'accelerators not free'
        return _result(task, ok=not problem, reason=problem)

    def _hold(self, lease: Lease) -> None:
        for task in lease.tasks:
            worker = self.workers[task.worker]
            worker.leases.add(lease.lease)
            for index in task.accelerators:
                worker.lease_by_accelerator[index] = lease.lease

    def _begin_problem(
        self, lease: Lease, task: Task, begin_by_s: float
    ) -> str:
        worker = self.workers[task.worker]
        if lease.state == 'ended':
            return f'lease ended: {lease.reason}'
        if task.began:
            return ''
        if self.now() > begin_by_s:
            return 'too late'
        if not worker.healthy:
            return 'worker lost'
        if worker.fails:
            return 'worker fails'
        return ''

    def _begin_task(self, lease: Lease, task: Task) -> None:
        task.began = True
        task.running = True
        lease.began_at_s = self.now()
        self.begins.append({
            'lease': lease.lease,
            'gang': lease.gang,
            'worker': task.worker,
            'zone': self.workers[task.worker].zone,
            'time_s': lease.began_at_s,
            'wall_s': time.time(),
        })

    def _end(self, lease: Lease, reason: str) -> None:
        if lease.state == 'ended':
            return
        lease.state = 'ended'
        lease.reason = reason
        for task in lease.tasks:
            if task.running:
                self.ends.append({
                    'lease': lease.lease,
                    'gang': lease.gang,
                    'worker': task.worker,
                    'time_s': self.now(),
                    'wall_s': time.time(),
                    'reason': reason,
                })
            task.running = False
            worker = self.workers[task.worker]
            worker.leases.discard(lease.lease)
            for index in task.accelerators:
                worker.lease_by_accelerator.pop(index, None)

    def _end_leases_on(self, worker: Worker, *, lost: bool) -> None:
        """End the whole gang of every task on a lost worker."""
        for name in tuple(worker.leases) if lost else ():
            lease = self.leases[name]
            lease.lost_worker = worker.id
            self._end(lease, 'worker lost')


def _result(task: Task, *, ok: bool, reason: str = '') -> dict[str, Any]:
    return {
        'worker': task.worker,
        'ok': ok,
        'reason': reason,
        'began': task.began,
    }
