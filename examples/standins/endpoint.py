"""Stand-in for the endpoints of a service.

It implements docs/endpoint.md. Endpoint number N of a process is served below
http://HOST:PORT/N. Faults and timing are set with POST /faults.
"""

import argparse
import asyncio
import json
import signal
import time
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from hashlib import sha256
from typing import Any
from urllib.parse import quote, urlsplit

from blacksheep import (
    Application,
    Content,
    Request,
    Response,
    Router,
    StreamedContent,
)

from examples.standins._service import (
    as_handler,
    make_server,
    read_json,
    read_number,
    reply,
)

ANSWER_TYPE = b'application/octet-stream'
HEARTBEAT_S = 5.0
RETRY_S = 0.5
MAX_WAIT_S = 60.0


@dataclass(kw_only=True)
class Behaviour:
    """Behaviour of the endpoints.

    :param answer_s: seconds until an answer.
    :param answer_bytes: size of an answer.
    :param fault: empty, `cut`, `short`, `crossed`, `failed` or `refuse`.
    :param faults_left: number of faulty answers, negative for no limit.
    """

    answer_s: float = 0.0
    answer_bytes: int = 64
    fault: str = ''
    faults_left: int = -1

    def take_fault(self) -> str:
        """Return the fault of the next answer and count it."""
        if self.faults_left == 0:
            return ''
        if self.faults_left > 0:
            self.faults_left -= 1
        return self.fault


@dataclass(kw_only=True)
class Run:
    """One attempt at one endpoint."""

    job: str
    attempt: int
    account: str
    request: str
    payload: str
    done: asyncio.Event = field(default_factory=asyncio.Event)
    cancelled: bool = False
    answer: bytes = b''


class EndpointStandIn:
    """Attempts of all endpoints of a process, with their records.

    :param behaviour: behaviour of the endpoints.
    """

    def __init__(self, *, behaviour: Behaviour) -> None:
        self.behaviour = behaviour
        self.runs: dict[tuple[str, str, int], Run] = {}
        self.runs_by_request: dict[str, int] = {}
        self.cancelled: set[tuple[str, str, int]] = set()
        self.history: list[dict[str, Any]] = []
        self.puts = 0
        self.tasks: set[asyncio.Task[None]] = set()

    def make_app(self) -> Application:
        """Return the application."""
        app = Application(router=Router())
        path = '/{number}/v1/requests/{job}/{attempt}'
        app.router.add_put(path, as_handler(self.put))
        app.router.add_get(path, as_handler(self.get))
        app.router.add_delete(path, as_handler(self.delete))
        app.router.add_get('/records', as_handler(self.records))
        app.router.add_post('/faults', as_handler(self.faults))
        return app

    async def put(self, request: Request) -> Response:
        """Start an attempt unless it has been sent before."""
        self.puts += 1
        key = _read_key(request)
        body = await read_json(request)
        if key in self.cancelled:
            return reply({'error': 'cancelled'}, 410)
        if self.behaviour.fault == 'refuse':
            return reply({'error': 'refused'}, 503)
        run = self.runs.get(key)
        if run is None:
            run = self._start(key, body)
        if self.behaviour.answer_s == 0:
            await run.done.wait()
        return self._answer(run)

    async def get(self, request: Request) -> Response:
        """Return the answer, or 202 after the wait."""
        run = self.runs.get(_read_key(request))
        if run is None:
            return reply({'error': 'unknown attempt'}, 404)
        wait_s = min(read_number(request, 'wait_s'), MAX_WAIT_S)
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await run.done.wait()
        return self._answer(run)

    async def delete(self, request: Request) -> Response:
        """Cancel an attempt; a later request to start it is refused."""
        key = _read_key(request)
        self.cancelled.add(key)
        run = self.runs.get(key)
        if run is None:
            return reply({'state': 'unknown'})
        if not run.done.is_set():
            run.cancelled = True
            run.done.set()
        return reply({'state': 'cancelled' if run.cancelled else 'finished'})

    async def records(self, request: Request) -> Response:
        """Return the started runs and their counts by account and request."""
        return reply({
            'runs': self.runs_by_request,
            'puts': self.puts,
            'history': self.history,
        })

    async def faults(self, request: Request) -> Response:
        """Change the behaviour."""
        for name, value in (await read_json(request)).items():
            setattr(self.behaviour, name, value)
        return reply({})

    async def finish(self) -> None:
        """Wait until the running attempts have finished."""
        while self.tasks:
            await asyncio.wait(self.tasks)

    def _start(self, key: tuple[str, str, int], body: dict[str, Any]) -> Run:
        run = Run(
            job=key[1],
            attempt=key[2],
            account=body['account'],
            request=body['request'],
            payload=body['payload'],
        )
        self.runs[key] = run
        name = f'{run.account}/{run.request}'
        self.runs_by_request[name] = self.runs_by_request.get(name, 0) + 1
        self.history.append({
            'endpoint': key[0],
            'job': run.job,
            'attempt': run.attempt,
            'account': run.account,
            'request': run.request,
            'wall_s': time.time(),
        })
        task = asyncio.create_task(self._work(run))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return run

    async def _work(self, run: Run) -> None:
        await asyncio.sleep(self.behaviour.answer_s)
        if not run.cancelled:
            run.answer = make_answer(run, self.behaviour.answer_bytes)
            run.done.set()

    def _answer(self, run: Run) -> Response:
        if run.cancelled:
            return reply({'error': 'cancelled'}, 410)
        if not run.done.is_set():
            return reply({}, 202)
        fault = self.behaviour.take_fault()
        body = run.answer
        job = run.job
        if fault == 'crossed':
            job = 'another-job'
            body = make_answer(replace(run, request='another'), len(body))
        headers = [
            (b'mangotrail-job', quote(job, safe='').encode()),
            (b'mangotrail-attempt', str(run.attempt).encode()),
            (b'mangotrail-sha256', sha256(body).hexdigest().encode()),
            (
                b'mangotrail-outcome',
                b'failed' if fault == 'failed' else b'answered',
            ),
        ]
        if fault == 'cut':
            cut = StreamedContent(ANSWER_TYPE, _cut(body), len(body))
            return Response(200, headers, cut)
        if fault == 'short':
            body = body[: len(body) // 2]
        return Response(200, headers, Content(ANSWER_TYPE, body))


def _cut(body: bytes) -> Callable[[], AsyncIterator[bytes]]:
    """Return a body whose connection closes half-way through."""

    async def stream() -> AsyncIterator[bytes]:
        yield body[: len(body) // 2]
        raise ConnectionAbortedError('answer cut by a fault')

    return stream


def make_answer(run: Run, size: int) -> bytes:
    """Return an answer that names its request, padded to a size."""
    head = f'{run.account}/{run.request}/{run.payload[:32]};'.encode()
    return (head + b'.' * max(0, size - len(head)))[: max(size, len(head))]


def _read_key(request: Request) -> tuple[str, str, int]:
    values = request.route_values or {}
    return (
        values.get('number') or '',
        values.get('job') or '',
        int(values.get('attempt') or 0),
    )


class Announcer:
    """Announces one endpoint to the gateways and sends its heartbeats.

    :param gateways: base URLs, tried in turn.
    :param token: credential of the service.
    :param body: the announcement.
    """

    def __init__(
        self, *, gateways: list[str], token: str, body: dict[str, Any]
    ) -> None:
        self.gateways = gateways
        self.token = token
        self.body = body
        self.next_gateway = 0

    async def run(self) -> None:
        """Announce until cancelled."""
        while True:
            admitted = await self.send('POST', '/v1/endpoints', self.body)
            await asyncio.sleep(HEARTBEAT_S if admitted else RETRY_S)

    async def leave(self) -> None:
        """Withdraw the endpoint at the first gateway that accepts it."""
        path = (
            f'/v1/endpoints/{quote(self.body["endpoint"], safe="")}'
            f'?generation={self.body["generation"]}'
        )
        for _ in self.gateways:
            if await self.send('DELETE', path, None):
                return

    async def send(self, method: str, path: str, body: object) -> bool:
        """Send one request and return whether it was accepted."""
        url = self.gateways[self.next_gateway % len(self.gateways)]
        try:
            async with asyncio.timeout(5):
                status = await send_request(
                    method, url, path, body, token=self.token
                )
        except (OSError, TimeoutError, ValueError, IndexError):
            status = 0
        if status != 200:
            self.next_gateway += 1
        return status == 200


async def send_request(
    method: str, url: str, path: str, body: object, *, token: str
) -> int:
    """Send a request to a gateway and return its status."""
    parts = urlsplit(url)
    reader, writer = await asyncio.open_connection(parts.hostname, parts.port)
    try:
        content = json.dumps(body).encode() if body is not None else b''
        head = (
            f'{method} {path} HTTP/1.1\r\nhost: {parts.netloc}\r\n'
            f'authorization: Bearer {token}\r\nconnection: close\r\n'
            f'content-type: application/json\r\n'
            f'content-length: {len(content)}\r\n\r\n'
        )
        writer.write(head.encode() + content)
        await writer.drain()
        status = int((await reader.readline()).split()[1])
        await reader.read()
        return status
    finally:
        writer.close()


def make_announcers(options: argparse.Namespace) -> list[Announcer]:
    """Return one announcer for each endpoint of the process."""
    name = options.name or f'{options.service}-{options.port}'
    generation = options.generation or time.time_ns() // 1_000_000
    return [
        Announcer(
            gateways=options.gateway.split(','),
            token=options.token,
            body={
                'endpoint': f'{name}-{number}',
                'generation': generation,
                'service': options.service,
                'zone': options.zone,
                'worker': options.worker,
                'url': f'http://{options.host}:{options.port}/{number}',
            },
        )
        for number in range(options.count)
    ]


async def serve(options: argparse.Namespace) -> None:
    """Serve until a signal, then leave and finish the running attempts."""
    behaviour = Behaviour(
        answer_s=options.answer_s, answer_bytes=options.answer_bytes
    )
    standin = EndpointStandIn(behaviour=behaviour)
    announcers = make_announcers(options)
    server = make_server(
        standin.make_app(), host=options.host, port=options.port
    )
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    serving = asyncio.create_task(server.serve())
    announcing = [
        asyncio.create_task(announcer.run()) for announcer in announcers
    ]
    await stopping.wait()
    for task in announcing:
        task.cancel()
    await asyncio.gather(*(announcer.leave() for announcer in announcers))
    await standin.finish()
    server.should_exit = True
    await serving


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--zone', required=True)
    parser.add_argument('--worker', default=None)
    parser.add_argument('--gateway', required=True, help='URLs, with commas')
    parser.add_argument('--token', required=True)
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--name', default='')
    parser.add_argument('--generation', type=int, default=0)
    parser.add_argument('--answer-s', type=float, default=0.0)
    parser.add_argument('--answer-bytes', type=int, default=64)
    asyncio.run(serve(parser.parse_args()))


if __name__ == '__main__':
    main()
