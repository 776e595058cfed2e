"""StartingHandler: refuses requests until the parts behind it are there."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.gateway import request_carrier
from magnoliacrank.model import verdict

if TYPE_CHECKING:
    from magnoliacrank.gateway import caller_connection
    from magnoliacrank.gateway import inbound_exchange


class StartingHandler:
    """Passes requests on to a target once that is set."""

    def __init__(self) -> None:
        self.target: caller_connection.FrontHandler | None = None
        """Handler that takes over, or None while starting."""

    async def on_request(
        self, exchange: inbound_exchange.InboundExchange
    ) -> None:
        """Answers one request."""
        if self.target is not None:
            await self.target.on_request(exchange)
            return
        result = verdict.not_run(verdict.Reason.NOT_READY)
        await request_carrier.answer_verdict(exchange, result)
