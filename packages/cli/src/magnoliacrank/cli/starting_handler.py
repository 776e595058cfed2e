"""StartingHandler: refuses requests until the instance has started."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.gateway import request_carrier
from magnoliacrank.model import verdict

if TYPE_CHECKING:
    from magnoliacrank.gateway import caller_connection
    from magnoliacrank.gateway import inbound_exchange


class StartingHandler:
    """Passes requests on to `target`, or refuses them until it is set."""

    def __init__(self) -> None:
        self.target: caller_connection.FrontHandler | None = None
        """Handler of all requests, or None while the instance is starting."""

    async def on_request(
        self, exchange: inbound_exchange.InboundExchange
    ) -> None:
        """Passes one request to the target, or refuses it as not ready."""
        if self.target is not None:
            await self.target.on_request(exchange)
            return
        result = verdict.not_run(verdict.Reason.NOT_READY)
        await request_carrier.answer_verdict(exchange, result)
