"""Fake gateway for tests that records requests and scripts replies."""

import json
from collections.abc import Generator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, HTTPServer
from threading import Thread
from typing import Any

Reply = tuple[int, Any]
NO_REPLY: Reply = (0, None)


class ScriptedGateway(HTTPServer):
    """HTTP server that sends replies in order and repeats the last one."""

    def __init__(self, *replies: Reply) -> None:
        super().__init__(('127.0.0.1', 0), Handler)
        self.replies = list(replies)
        self.requests: list[tuple[str, str, Any]] = []
        self.url = f'http://127.0.0.1:{self.server_port}'


class Handler(BaseHTTPRequestHandler):
    """Handles all methods alike."""

    server: ScriptedGateway

    def handle_request(self) -> None:
        """Record the request and reply."""
        gateway = self.server
        content = self.rfile.read(int(self.headers.get('Content-Length', 0)))
        body = json.loads(content) if content else None
        gateway.requests.append((self.command, self.path, body))
        many = len(gateway.replies) > 1
        status, reply = gateway.replies.pop(0) if many else gateway.replies[0]
        if (status, reply) == NO_REPLY:
            return
        raw = isinstance(reply, bytes)
        encoded = reply if raw else json.dumps(reply).encode()
        self.send_response(status)
        self.send_header('Content-Length', str(len(encoded)))
        self.end_headers()
        self.wfile.write(encoded)

    do_GET = do_POST = do_DELETE = handle_request  # noqa: N815

    def log_message(self, *_arguments: Any) -> None:
        """Suppress the access log."""


@contextmanager
def serving(*replies: Reply) -> Generator[ScriptedGateway, None, None]:
    """Serve until the end of the block."""
    gateway = ScriptedGateway(*replies)
    thread = Thread(target=gateway.serve_forever, args=(0.01,))
    thread.start()
    try:
        yield gateway
    finally:
        gateway.shutdown()
        thread.join()
        gateway.server_close()


def closed_url() -> str:
    """Return a URL that refuses connections."""
    gateway = ScriptedGateway(NO_REPLY)
    gateway.server_close()
    return gateway.url


def error(code: str, **fields: Any) -> dict[str, Any]:
    """Return the body of an error reply."""
    return {'error': {'code': code, 'message': 'refused', **fields}}
