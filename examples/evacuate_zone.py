"""Takes a zone out of service and waits until it has no unfinished job.

Run as ``python -m examples.evacuate_zone CREDENTIALS OPERATOR ZONE SERVER...``
against a running deployment.
"""

import sys
import time
import uuid
from collections.abc import Callable, Sequence

from mangotrail._messages import JobState, View, ZoneState
from mangotrail.client import Client
from mangotrail.ids import OperationId, ZoneId
from mangotrail.settings import load_credentials

DEADLINE_S = 60.0


def evacuate(
    client: Client, zone: ZoneId, *, pause: Callable[[float], None] = time.sleep
) -> int:
    """Take the zone out of service and wait until its jobs have left it.

    :return: number of polls.
    :raises MangotrailError: if the command is refused or no server answers.
    """
    client.set_zone(
        zone,
        ZoneState.OUT,
        operation=OperationId(str(uuid.uuid4())),
        deadline_s=DEADLINE_S,
    )
    polls = 1
    while _jobs_left(client, zone):
        pause(1)
        polls += 1
    return polls


def _jobs_left(client: Client, zone: ZoneId) -> bool:
    return any(
        job['zone'] == zone and job['state'] != JobState.FINISHED
        for job in client.list_view(View.JOBS)
    )


def main(arguments: Sequence[str]) -> None:
    """Evacuate the zone that the arguments name."""
    credentials, operator, zone, *servers = arguments
    token = load_credentials(credentials).operators[operator]
    evacuate(Client(servers, token=token), ZoneId(zone))
    print(f'No job is left in {zone}.')


if __name__ == '__main__':
    main(sys.argv[1:])
