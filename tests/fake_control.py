"""Fake control process for tests: a ROUTER socket with scripted replies."""

import asyncio
from collections import defaultdict
from collections.abc import Callable

import msgspec
import zmq
import zmq.asyncio

from mangotrail._messages import (
    Accepted,
    AttemptReport,
    Call,
    CallBody,
    ConfirmCall,
    ConfirmReply,
    GatewayMessage,
    JobReply,
    JobState,
    JobView,
    Outcome,
    Reply,
    ReplyBody,
    SubmitCall,
    WaitCall,
)
from mangotrail.ids import JobId

Script = Callable[[CallBody], ReplyBody | None]


class FakeControl:
    """Answers the calls of one gateway and records them.

    :param port: TCP port, 0 for a free one.
    """

    def __init__(self, *, port: int = 0) -> None:
        self.context = zmq.asyncio.Context()
        self.socket = self.context.socket(zmq.ROUTER)
        self.socket.setsockopt(zmq.LINGER, 0)
        if port:
            self.socket.bind(f'tcp://127.0.0.1:{port}')
            self.port = port
        else:
            self.port = self.socket.bind_to_random_port('tcp://127.0.0.1')
        self.calls: list[CallBody] = []
        self.changed = asyncio.Condition()
        self.scripts: dict[type, Script] = {}
        self.views: dict[str, JobView] = {}
        self.reported: dict[str, list[AttemptReport]] = defaultdict(list)
        self.gateway = b''
        self.task = asyncio.create_task(self.run())

    async def run(self) -> None:
        """Answer calls until cancelled."""
        decoder = msgspec.msgpack.Decoder(Call)
        while True:
            self.gateway, frame = await self.socket.recv_multipart()
            call = decoder.decode(frame)
            async with self.changed:
                self.calls.append(call.body)
                reply = self.answer(call.body)
                self.changed.notify_all()
            if reply is not None:
                await self.send(Reply(number=call.number, body=reply))

    def answer(self, body: CallBody) -> ReplyBody | None:
        """Return the scripted reply, by default a successful one."""
        script = self.scripts.get(type(body))
        if script is not None:
            return script(body)
        match body:
            case SubmitCall():
                spec = body.job_spec
                view = JobView(
                    job=JobId(f'job-{spec.request}'),
                    account=spec.account,
                    request=spec.request,
                    state=JobState.QUEUED,
                )
                return JobReply(view=self.views.setdefault(spec.request, view))
            case WaitCall():
                return JobReply(view=self.views[body.request])
            case ConfirmCall():
                return ConfirmReply(granted=True)
            case AttemptReport():
                self.reported[body.job].append(body)
        return Accepted()

    def finish(self, request: str, **fields: object) -> None:
        """Mark a job as finished."""
        self.views[request] = msgspec.structs.replace(
            self.views[request],
            state=JobState.FINISHED,
            **{'outcome': Outcome.ANSWERED, **fields},
        )

    async def send(self, message: GatewayMessage) -> None:
        """Send a message to the gateway."""
        frame = msgspec.msgpack.encode(message)
        await self.socket.send_multipart((self.gateway, frame))

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition on the recorded calls holds."""
        async with asyncio.timeout(20), self.changed:
            await self.changed.wait_for(condition)

    def statuses(self, job: str) -> list[str]:
        """Return the reported statuses of a job without duplicates."""
        return list(dict.fromkeys(row.status for row in self.reported[job]))

    async def wait_status(self, job: str, status: str) -> AttemptReport:
        """Wait for a report and return it."""
        await self.wait_for(lambda: status in self.statuses(job))
        rows = [row for row in self.reported[job] if row.status == status]
        return rows[-1]

    def close(self) -> None:
        """Stop and close the socket."""
        self.task.cancel()
        self.context.destroy(linger=0)
