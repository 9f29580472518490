"""Stand-in for the platform: the workers of all zones of a bundle.

It implements docs/platform.md. The base URL of one zone is
http://HOST:PORT/zones/ZONE. Faults are set with POST /faults.
"""

import argparse
import asyncio
import signal
from pathlib import Path
from typing import Any

import msgspec
from blacksheep import Application, Request, Response, Router

from examples.standins._leases import PlatformStandIn
from examples.standins._service import (
    as_handler,
    make_server,
    read_json,
    read_number,
    reply,
)
from mangotrail._bundle import Bundle


class PlatformHandlers:
    """HTTP paths of the stand-in.

    :param platform: the state that the paths act on.
    """

    actions = ('prepare', 'begin', 'renew', 'stop', 'checkpoint', 'throttle')

    def __init__(self, *, platform: PlatformStandIn) -> None:
        self.platform = platform

    def make_app(self) -> Application:
        """Return the application, with each path for a zone and for all."""
        app = Application(router=Router())
        for prefix in ('', '/zones/{zone}'):
            app.router.add_get(f'{prefix}/v1/workers', as_handler(self.workers))
            app.router.add_get(f'{prefix}/v1/usage', as_handler(self.usage))
            app.router.add_get(
                f'{prefix}/v1/leases/{{lease}}', as_handler(self.lease)
            )
            app.router.add_post(
                f'{prefix}/v1/tasks/{{action}}', as_handler(self.act)
            )
        app.router.add_get('/records', as_handler(self.records))
        app.router.add_post('/faults', as_handler(self.faults))
        return app

    async def act(self, request: Request) -> Response:
        """Serve one action on leases."""
        action = _path_parameter(request, 'action')
        if action not in self.actions:
            return reply({'error': 'unknown action'}, 404)
        self.platform.expire()
        calls = self.platform.calls
        calls[action] = calls.get(action, 0) + 1
        results = getattr(self.platform, action)(await read_json(request))
        return self._timed({'results': results})

    async def workers(self, request: Request) -> Response:
        """List workers."""
        zone = _path_parameter(request, 'zone') or None
        return self._timed({'workers': self.platform.show_workers(zone)})

    async def usage(self, request: Request) -> Response:
        """List usage."""
        self.platform.expire()
        read_number(request, 'since')
        zone = _path_parameter(request, 'zone') or None
        return self._timed({'usage': self.platform.show_usage(zone)})

    async def lease(self, request: Request) -> Response:
        """Show a lease."""
        self.platform.expire()
        return self._timed(
            self.platform.show_lease(_path_parameter(request, 'lease'))
        )

    async def records(self, request: Request) -> Response:
        """Show what happened."""
        self.platform.expire()
        return reply(self.platform.records())

    async def faults(self, request: Request) -> Response:
        """Set faults."""
        self.platform.set_fault(await read_json(request))
        return reply({})

    def _timed(self, document: dict[str, Any]) -> Response:
        return reply({'time_s': self.platform.now(), **document})


def _path_parameter(request: Request, name: str) -> str:
    return (request.route_values or {}).get(name) or ''


async def expire_leases(platform: PlatformStandIn) -> None:
    """End expired leases until cancelled."""
    while True:
        platform.expire()
        await asyncio.sleep(0.1)


async def serve(*, host: str, port: int, bundle_path: Path) -> None:
    """Serve until a signal."""
    bundle = msgspec.json.decode(bundle_path.read_bytes(), type=Bundle)
    platform = PlatformStandIn(bundle=bundle)
    app = PlatformHandlers(platform=platform).make_app()
    expiring = asyncio.create_task(expire_leases(platform))
    server = make_server(app, host=host, port=port)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, server.handle_exit, number, None)
    try:
        await server.serve()
    finally:
        expiring.cancel()


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--bundle', type=Path, required=True)
    options = parser.parse_args()
    asyncio.run(
        serve(host=options.host, port=options.port, bundle_path=options.bundle)
    )


if __name__ == '__main__':
    main()
