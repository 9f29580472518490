"""Submits a job and waits for its answer.

Run as ``python -m examples.submit_job CREDENTIALS ACCOUNT SERVICE SERVER...``
against a running deployment.
"""

import sys
import time
import uuid
from collections.abc import Sequence

from mangotrail._messages import GangLevel, JobShape, JobSpec, JobView
from mangotrail.client import Client
from mangotrail.errors import UndecidedError
from mangotrail.ids import AccountId, RequestId, ServiceId
from mangotrail.settings import load_credentials

WAIT_S = 120.0


def submit(
    credentials: str, account: str, service: str, servers: Sequence[str]
) -> JobView:
    """Submit a gang of two members in one rack and wait until it ends.

    :raises MangotrailError: if the job is refused or no server answers.
    """
    token = load_credentials(credentials).accounts[AccountId(account)]
    client = Client(servers, token=token)
    spec = JobSpec(
        account=AccountId(account),
        request=RequestId(str(uuid.uuid4())),
        service=ServiceId(service),
        shape=JobShape(members=2, accelerators=2, level=GangLevel.RACK),
        created_at_s=time.time(),
        payload='{"carts": 3}',
    )
    try:
        client.submit_job(spec)
    except UndecidedError:
        # The job may have been accepted: the same request id joins it.
        client.submit_job(spec, again=True)
    return client.wait_job(spec.account, spec.request, wait_s=WAIT_S)


if __name__ == '__main__':
    print(submit(sys.argv[1], sys.argv[2], sys.argv[3], sys.argv[4:]))
