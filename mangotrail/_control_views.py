"""JSON documents that operators ask of a control process."""

import os
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any, TypeAlias

import msgspec
from msgspec.structs import asdict, replace

from mangotrail._job_rules import view_of
from mangotrail._leader import Leader
from mangotrail._messages import JobState, View
from mangotrail._peer_link import PeerLink
from mangotrail._replica import Replica

Row: TypeAlias = Mapping[str, Any]
MAX_LISTED_JOBS = 1000


def view_document(view: View, replica: Replica, leader: Leader) -> bytes:
    """Return one view as a JSON object with a list under the view's name."""
    rows = _VIEWS[view](replica, leader)
    return msgspec.json.encode({view.value: rows})


def dump_of(replica: Replica, leader: Leader | None, link: PeerLink) -> bytes:
    """Return the state of a control process as JSON."""
    state = replica.state
    document = {
        'process': 'control',
        'pid': os.getpid(),
        'resident_bytes': resident_bytes(),
        'instance': replica.settings.instance,
        'agreement': replica.status(),
        'link': {
            'sent_bytes': link.sent_bytes,
            'sent_by_purpose': link.sent_by_purpose,
            'received_bytes': link.received_bytes,
            'refused_frames': link.refused_frames,
        },
        'state': {
            'index': state.index,
            'bundle_version': state.bundle_version,
            'bundle_digest': state.bundle_digest,
            'bundles': len(state.bundles),
            'zones': tuple(state.zones.values()),
            'endpoints': len(state.endpoints),
            'jobs': len(state.jobs),
            'operations': len(state.operations),
        },
        'leader': None if leader is None else _leader_dump(leader),
    }
    return msgspec.json.encode(document)


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')


def _leader_dump(leader: Leader) -> Row:
    return {
        'gateways': {
            instance: asdict(seen)
            for instance, seen in leader.fleet.gateways.items()
        },
        'quarantined': leader.quarantined,
        'contradictions': leader.policy.counters,
        'waiting': len(leader.wait_reasons),
        'stops': len(leader.orders.stops),
    }


def _bundles(replica: Replica, leader: Leader) -> Sequence[Row]:
    rows = []
    for record in replica.state.bundles.values():
        row = asdict(record)
        row['bundle'] = msgspec.Raw(row.pop('encoded'))
        rows.append(row)
    return rows


def _versions(replica: Replica, leader: Leader) -> Sequence[Row]:
    now_s = leader.clock.monotonic_s()
    return [
        {
            'instance': instance,
            'version': seen.hello.bundle_version,
            'ready': seen.hello.ready,
            'reachable': leader.fleet.is_alive(instance, now_s),
            'heard_s_ago': round(now_s - seen.heard_s, 3),
        }
        for instance, seen in sorted(leader.fleet.gateways.items())
    ]


def _zones(replica: Replica, leader: Leader) -> Sequence[Row]:
    state = replica.state
    if state.bundle is None:
        return ()
    rows = []
    for spec in state.bundle.zones:
        record = state.zones.get(spec.zone)
        running = sum(
            1
            for job in state.unfinished_jobs()
            if job.placement is not None and job.placement.zone == spec.zone
        )
        rows.append({
            'zone': spec.zone,
            'region': spec.region,
            'state': state.zone_state(spec.zone).value,
            'changed_s': record.changed_s if record else 0,
            'operator': record.operator if record else '',
            'workers': sum(len(rack.workers) for rack in spec.racks),
            'jobs': running,
        })
    return rows


def _accounts(replica: Replica, leader: Leader) -> Sequence[Row]:
    state = replica.state
    if state.bundle is None:
        return ()
    return [
        {
            'account': spec.account,
            'guarantees': spec.guarantees,
            'weight': spec.weight,
            **_job_counts(replica, spec.account),
        }
        for spec in state.bundle.accounts
    ]


def _job_counts(replica: Replica, account: str) -> Row:
    counts = dict.fromkeys((job_state.value for job_state in JobState), 0)
    for record in replica.state.jobs.values():
        if record.job_spec.account == account:
            counts[record.state.value] += 1
    return counts


def _jobs(replica: Replica, leader: Leader) -> Sequence[Row]:
    newest = list(replica.state.jobs.values())[-MAX_LISTED_JOBS:]
    return [
        asdict(
            replace(
                view_of(record),
                answer=None,
                reason=leader.wait_reason(record),
            )
        )
        for record in newest
    ]


def _endpoints(replica: Replica, leader: Leader) -> Sequence[Row]:
    available = {
        status.endpoint
        for status in leader.fleet.available_endpoints(
            replica.state, leader.clock.monotonic_s()
        )
    }
    return [
        asdict(record) | {'available': record.endpoint in available}
        for record in replica.state.endpoints.values()
    ]


def _members(replica: Replica, leader: Leader) -> Sequence[Row]:
    return replica.members()


_VIEWS: Mapping[View, Callable[[Replica, Leader], Sequence[Row]]] = {
    View.BUNDLES: _bundles,
    View.VERSIONS: _versions,
    View.ZONES: _zones,
    View.ACCOUNTS: _accounts,
    View.JOBS: _jobs,
    View.ENDPOINTS: _endpoints,
    View.MEMBERS: _members,
}
