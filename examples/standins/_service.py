"""JSON replies and HTTP server shared by the stand-ins."""

import json
from collections.abc import Awaitable, Callable, Generator
from contextlib import contextmanager
from typing import Any

from blacksheep import Application, Content, Request, Response
from uvicorn import Config, Server

Handler = Callable[[Request], Awaitable[Response]]


def as_handler(serve: Handler) -> Handler:
    """Wrap a bound method, which the router does not accept, in a function."""

    async def handle(request: Request) -> Response:
        return await serve(request)

    return handle


def reply(document: object, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(
        status,
        None,
        Content(b'application/json', json.dumps(document).encode()),
    )


async def read_json(request: Request) -> dict[str, Any]:
    """Return the JSON object in a body."""
    document = json.loads(await request.read() or b'{}')
    return dict(document)


def read_number(request: Request, name: str, default: float = 0) -> float:
    """Return a number from the query."""
    return float(request.query.get(name, [str(default)])[0])


class StandInServer(Server):
    """Server that leaves signal handling to its owner."""

    @contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Install no signal handlers."""
        yield


def make_server(app: Application, *, host: str, port: int) -> StandInServer:
    """Return a server without starting it."""
    return StandInServer(
        Config(
            app,
            host=host,
            port=port,
            loop='asyncio',
            ws='none',
            log_config=None,
            access_log=False,
        )
    )
