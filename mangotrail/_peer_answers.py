"""Answers that another instance keeps."""

import asyncio
from hashlib import sha256
from urllib.parse import quote

from mangotrail._gateway_context import GatewayContext
from mangotrail._http_client import HttpClient, HttpFailure, HttpRequest
from mangotrail._messages import JobView
from mangotrail._settings import PeerSettings
from mangotrail.answers import AnswerKey
from mangotrail.errors import AnswerUnavailableError
from mangotrail.pacing import Purpose, region_of_instance

ANSWER_MEDIA_TYPE = 'application/octet-stream'
BASE_TIMEOUT_S = 10.0


class PeerAnswers:
    """Finds the large answers of finished jobs.

    Concurrent callers of one answer share one transfer, and a fetched answer
    is kept for retries, because the link between regions is paid by volume.

    :param context: parts of the gateway.
    :param http: client for the other gateways.
    """

    def __init__(self, *, context: GatewayContext, http: HttpClient) -> None:
        self.context = context
        self.http = http
        self.transfers: dict[AnswerKey, asyncio.Task[bytes]] = {}

    async def find(self, view: JobView, authorization: str) -> bytes:
        """Return the whole answer of a finished job.

        :param authorization: the caller's own credential.
        :raises AnswerUnavailableError: if the answer cannot be had.
        """
        key = (view.account, view.request)
        cached = self.context.answers.get(key)
        if cached is not None and cached.sha256 == view.answer_sha256:
            return cached.body
        if view.holder in {None, self.context.settings.instance}:
            raise AnswerUnavailableError(
                'The answer is no longer kept.',
                field='answer',
                allowed=f'{self.context.settings.http.answer_cache_s} s',
                remedy='Read answers soon after the end of a job.',
            )
        transfer = self.transfers.get(key)
        if transfer is None:
            transfer = asyncio.create_task(self._fetch(view, authorization))
            self.transfers[key] = transfer
            transfer.add_done_callback(lambda _: self.transfers.pop(key, None))
        # A caller that leaves must not end the transfer of the others.
        return await asyncio.shield(transfer)

    async def _fetch(self, view: JobView, authorization: str) -> bytes:
        peer = self._holder(view)
        pacer = self.context.link_pacer if self._in_other_region(peer) else None
        request = HttpRequest(
            method='GET',
            url=_answer_url(peer, view),
            purpose=Purpose.PEER_ANSWER,
            timeout_s=BASE_TIMEOUT_S
            + 4 * view.answer_bytes / self.context.link_pacer.rate_bytes_s,
            headers={
                'authorization': authorization,
                'accept': ANSWER_MEDIA_TYPE,
            },
            max_bytes=view.answer_bytes,
            pacer=pacer,
        )
        try:
            response = await self.http.send(request)
        except HttpFailure as failure:
            raise _unavailable_error(peer, str(failure)) from failure
        if response.status != 200:
            raise _unavailable_error(peer, f'status {response.status}')
        if sha256(response.body).hexdigest() != view.answer_sha256:
            raise _unavailable_error(peer, 'the body does not have its digest')
        self.context.answers.put(
            (view.account, view.request), response.body, view.answer_sha256
        )
        return response.body

    def _holder(self, view: JobView) -> PeerSettings:
        for peer in self.context.settings.peers:
            if peer.instance == view.holder:
                return peer
        raise AnswerUnavailableError(
            'The answer is kept by an instance that is not in the settings.',
            field='holder',
            value=view.holder or '',
            remedy='Add the instance to the peers of all settings.',
        )

    def _in_other_region(self, peer: PeerSettings) -> bool:
        settings = self.context.settings
        return peer.region != region_of_instance(settings, settings.instance)


def _answer_url(peer: PeerSettings, view: JobView) -> str:
    host = peer.gateway.host
    host = f'[{host}]' if ':' in host else host
    account = quote(view.account, safe='')
    request = quote(view.request, safe='')
    return f'http://{host}:{peer.gateway.port}/v1/jobs/{account}/{request}'


def _unavailable_error(
    peer: PeerSettings, problem: str
) -> AnswerUnavailableError:
    return AnswerUnavailableError(
        f'The answer is kept by {peer.instance}: {problem}',
        field='holder',
        value=peer.instance,
        remedy='Read the answer again later.',
    )
