"""Gateway daemon: all HTTP of one instance."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from contextlib import suppress
from secrets import token_hex
from typing import Any

from blacksheep import Application, Request, Response, Router
from blacksheep.exceptions import HTTPException
from loguru import logger

from mangotrail._attempt_context import AttemptContext
from mangotrail._gateway_context import GatewayContext, GatewayStatus
from mangotrail._http_callers import CallerHandlers, is_first_submission
from mangotrail._http_client import HttpClient
from mangotrail._http_common import (
    Authenticator,
    as_handler,
    failure_response,
    json_response,
)
from mangotrail._http_endpoints import EndpointHandlers
from mangotrail._http_operators import OperatorHandlers
from mangotrail._messages import (
    Failure,
    GatewayHello,
    GatewayMessage,
    HeartbeatCall,
    InForce,
    ObserveOrder,
)
from mangotrail._peer_answers import PeerAnswers
from mangotrail._server import BoundedApp, GatewayServer, make_server
from mangotrail._settings import Credentials, PeerSettings, Settings
from mangotrail.answers import AnswerStore
from mangotrail.clock import Clock, SystemClock
from mangotrail.dispatch import Dispatcher
from mangotrail.endpoints import EndpointClient, HeartbeatRegistry
from mangotrail.errors import MangotrailError, SettingsError
from mangotrail.link import ControlLink
from mangotrail.metrics import ANSWER_BYTES, ATTEMPTS_HELD, open_metrics
from mangotrail.observe import Observers
from mangotrail.pacing import ByteCounts, Pacer, link_rate_bytes_s
from mangotrail.platform import PlatformClient
from mangotrail.renewal import LeaseRenewer

HELLO_INTERVAL_S = 1.0
UNLINKED_HELLO_INTERVAL_S = 0.1
ENDPOINT_TIMEOUT_S = 60.0
# Time for another gateway to adopt the attempts of one that shuts down.
HANDOVER_LEASE_PERIODS = 2
VIEW_PATHS = (
    'bundles',
    'versions',
    'zones',
    'accounts',
    'jobs',
    'endpoints',
    'members',
)


class Gateway:
    """One gateway process.

    :param settings: settings of the instance.
    :param credentials: tokens by role.
    :param clock: source of ages, also used for the age of confirmations.
    :raises SettingsError: if the settings do not name their own instance.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        credentials: Credentials,
        clock: Clock | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        self.own = _find_own_peer(settings)
        # The leader sends orders again to a process that forgot them.
        self.boot = token_hex(8)
        self.metrics = open_metrics(
            settings.statsd, instance=settings.instance, process='gateway'
        )
        self.stopping = asyncio.Event()
        self.link = ControlLink(
            address=settings.gateway_link, on_order=self.handle
        )
        self.status = GatewayStatus(
            clock=self.clock, is_connected=self.link.is_connected
        )
        self.counts = ByteCounts()
        self.http = HttpClient(counts=self.counts)
        self.context = self._make_context(credentials)
        self.platform = PlatformClient(http=self.http)
        self.dispatcher = Dispatcher(context=self._make_attempt_context())
        self.observers = Observers(platform=self.platform, control=self.link)
        self.app = BoundedApp(
            app=self._make_app(),
            max_requests=settings.http.max_connections,
            metrics=self.metrics,
        )
        self.server: GatewayServer = make_server(
            self.app, address=self.own.gateway, bounds=settings.http
        )

    def handle(self, order: GatewayMessage) -> None:
        """Act on an order of the control process."""
        if isinstance(order, InForce):
            self.status.update_in_force(order)
        elif isinstance(order, ObserveOrder):
            self.observers.handle(order)
        else:
            self.dispatcher.handle(order)

    def stop(self) -> None:
        """Begin a graceful shutdown."""
        self.stopping.set()

    async def run(self) -> None:
        """Serve until stopped, then drain."""
        background = [
            asyncio.create_task(work)
            for work in (
                self.link.run(),
                self._repeat(self._send_hello),
                self._repeat(self._forward_heartbeats),
            )
        ]
        serving = asyncio.create_task(self.server.serve())
        stopping = asyncio.create_task(self.stopping.wait())
        try:
            await asyncio.wait(
                (serving, stopping, *background),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if stopping.done():
                await self._drain()
            self.server.should_exit = True
            await serving
            for task in background:
                if task.done():
                    task.result()
        finally:
            stopping.cancel()
            self.observers.close()
            await self.dispatcher.close()
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)

    def dump(self) -> dict[str, object]:
        """Return what this process knows, for operators."""
        in_force = self.status.in_force
        return {
            'instance': self.settings.instance,
            'ready': self.status.is_ready(),
            'draining': self.status.draining,
            'bundle_version': in_force.version if in_force else 0,
            'attempts': [
                {'job': job, 'attempt': attempt}
                for job, attempt in self.dispatcher.attempts
            ],
            'callers': self.app.callers,
            'kept_answers': len(self.context.answers.answers),
            'kept_answer_bytes': self.context.answers.used_bytes,
            'known_endpoints': len(self.context.heartbeats.announcements),
            'bytes': self.counts.as_document(),
        }

    def _make_context(self, credentials: Credentials) -> GatewayContext:
        bounds = self.settings.http
        timing = self.settings.timing
        return GatewayContext(
            settings=self.settings,
            clock=self.clock,
            status=self.status,
            control=self.link,
            authenticator=Authenticator(credentials=credentials),
            answers=AnswerStore(
                max_bytes=bounds.answer_cache_bytes,
                max_age_s=bounds.answer_cache_s,
                clock=self.clock,
            ),
            heartbeats=HeartbeatRegistry(
                clock=self.clock, max_age_s=timing.endpoint_ttl_ms / 1000
            ),
            counts=self.counts,
            link_pacer=Pacer(
                rate_bytes_s=link_rate_bytes_s(self.settings), clock=self.clock
            ),
        )

    def _make_attempt_context(self) -> AttemptContext:
        timing = self.settings.timing
        return AttemptContext(
            clock=self.clock,
            control=self.link,
            platform=self.platform,
            endpoints=EndpointClient(http=self.http),
            answers=self.context.answers,
            lease_renewer=LeaseRenewer(
                platform=self.platform,
                clock=self.clock,
                lease_s=timing.lease_ms / 1000,
                renew_s=timing.renew_ms / 1000,
                metrics=self.metrics,
            ),
            confirm_s=timing.confirm_ms / 1000,
            lease_s=timing.lease_ms / 1000,
            endpoint_timeout_s=ENDPOINT_TIMEOUT_S,
            max_answer_bytes=self.status.max_answer_bytes,
            pacer_for=self.context.pacer_for,
            started_at_s=self.clock.monotonic_s(),
            metrics=self.metrics,
        )

    def _make_app(self) -> Application:
        app = Application(router=Router(), show_error_details=False)
        callers = CallerHandlers(
            context=self.context,
            peer_answers=PeerAnswers(context=self.context, http=self.http),
        )
        job_path = '/v1/jobs/{account}/{request_id}'
        app.router.add_post('/v1/jobs', as_handler(callers.submit))
        app.router.add_get(job_path, as_handler(callers.read))
        app.router.add_delete(job_path, as_handler(callers.cancel))
        endpoints = EndpointHandlers(context=self.context)
        app.router.add_post('/v1/endpoints', as_handler(endpoints.announce))
        app.router.add_delete(
            '/v1/endpoints/{endpoint}', as_handler(endpoints.leave)
        )
        self._add_operator_paths(app)
        app.router.add_get('/healthz', as_handler(self._healthz))
        app.router.add_get('/readyz', as_handler(self._readyz))
        app.exceptions_handlers[MangotrailError] = _handle_failure
        app.exceptions_handlers[HTTPException] = _handle_http_error
        app.exceptions_handlers[404] = _handle_http_error
        app.exceptions_handlers[Exception] = _handle_unexpected_error
        return app

    def _add_operator_paths(self, app: Application) -> None:
        operators = OperatorHandlers(
            context=self.context, dump_gateway=self.dump
        )
        prefix = '/admin/v1'
        for view in VIEW_PATHS:
            app.router.add_get(f'{prefix}/{view}', as_handler(operators.view))
        bundle_path = f'{prefix}/bundles/{{version}}'
        app.router.add_post(
            f'{prefix}/bundles', as_handler(operators.write_bundle)
        )
        app.router.add_post(
            f'{bundle_path}/sign', as_handler(operators.sign_bundle)
        )
        app.router.add_post(
            f'{bundle_path}/rollout', as_handler(operators.roll_out_bundle)
        )
        app.router.add_post(
            f'{prefix}/zones/{{zone}}', as_handler(operators.set_zone)
        )
        app.router.add_get(f'{prefix}/dump', as_handler(operators.dump))

    async def _healthz(self, request: Request) -> Response:
        return json_response({'alive': True})

    async def _readyz(self, request: Request) -> Response:
        ready = self.status.is_ready()
        document = {
            'ready': ready,
            'linked': self.status.is_linked(),
            'draining': self.status.draining,
        }
        return json_response(document, 200 if ready else 503)

    async def _repeat(
        self, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        while True:
            with suppress(MangotrailError):
                await work()
            linked = self.status.is_linked()
            await asyncio.sleep(
                HELLO_INTERVAL_S if linked else UNLINKED_HELLO_INTERVAL_S
            )

    async def _send_hello(self) -> None:
        in_force = self.status.in_force
        hello = GatewayHello(
            instance=self.settings.instance,
            ready=not self.status.draining,
            boot=self.boot,
            attempts=len(self.dispatcher.attempts),
            bundle_version=in_force.version if in_force else 0,
        )
        self.metrics.put(ATTEMPTS_HELD, len(self.dispatcher.attempts))
        self.metrics.put(ANSWER_BYTES, self.context.answers.used_bytes)
        asked_at_s = self.clock.monotonic_s()
        reply = await self.link.call(hello, timeout_s=HELLO_INTERVAL_S)
        if not isinstance(reply, Failure):
            self.status.hello_at_s = asked_at_s

    async def _forward_heartbeats(self) -> None:
        pending = self.context.heartbeats.take_pending()
        if pending:
            await self.link.call(
                HeartbeatCall(endpoints=pending), timeout_s=HELLO_INTERVAL_S
            )

    async def _drain(self) -> None:
        logger.info('graceful shutdown has begun')
        self.status.draining = True
        self.dispatcher.drain()
        with suppress(MangotrailError):
            await self._send_hello()
        with suppress(TimeoutError):
            async with asyncio.timeout(self.settings.http.drain_timeout_s):
                await self.app.no_callers.wait()
        self.status.closing.set()
        handover_s = (
            HANDOVER_LEASE_PERIODS * self.settings.timing.lease_ms / 1000
        )
        with suppress(TimeoutError):
            async with asyncio.timeout(handover_s):
                await self.dispatcher.idle.wait()
        logger.info(
            'graceful shutdown ends, {} attempts not handed over',
            len(self.dispatcher.attempts),
        )


async def _handle_failure(
    app: Application, request: Request, error: MangotrailError
) -> Response:
    failure = error.to_failure()
    if not is_first_submission(request):
        failure = _without_not_run(failure)
    return failure_response(failure)


async def _handle_http_error(
    app: Application, request: Request, error: HTTPException
) -> Response:
    return failure_response(
        Failure(
            code='unknown_object' if error.status == 404 else 'invalid_input',
            message='There is no such path or method.',
            field_name='path',
            value=f'{request.method} {request.path}'[:200],
            remedy='Correct the path or the method.',
            status=error.status,
        )
    )


async def _handle_unexpected_error(
    app: Application, request: Request, error: Exception
) -> Response:
    logger.opt(exception=error).error('request failed: {}', request.path)
    return failure_response(
        MangotrailError(
            'The request failed inside the gateway.',
            remedy='Send the request again with the same id.',
        ).to_failure()
    )


def _without_not_run(failure: Failure) -> Failure:
    return Failure(
        code=failure.code,
        message=failure.message,
        field_name=failure.field_name,
        value=failure.value,
        allowed=failure.allowed,
        remedy=failure.remedy,
        not_run=False,
        status=failure.status,
    )


def _find_own_peer(settings: Settings) -> PeerSettings:
    for peer in settings.peers:
        if peer.instance == settings.instance:
            return peer
    raise SettingsError(
        'The settings do not list their own instance.',
        field='peers',
        value=settings.instance,
        allowed='one entry for each instance, this one included',
        remedy='Add the instance to peers.',
    )


async def run_gateway(settings: Settings, credentials: Credentials) -> None:
    """Run the gateway until SIGTERM or SIGINT, then drain it.

    :raises SettingsError: if the settings do not name their own instance.
    """
    gateway = Gateway(settings=settings, credentials=credentials)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, gateway.stop)
    await gateway.run()
