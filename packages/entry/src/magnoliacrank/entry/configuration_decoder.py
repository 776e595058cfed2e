"""ConfigurationDecoder: decodes large configurations beside the event loop.

Load pattern: a configuration with hundreds of routes arrives under load. To
decode it takes tens of milliseconds, which requests would spend waiting.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliacrank.platform import operator_wire
from magnoliacrank.platform import wire_values

if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliacrank.entry import keyed_view
    from magnoliacrank.model import route_plan
    from magnoliacrank.platform import store_records

_MIN_THREAD_BYTES = 16_384
"""Size from which a configuration is decoded in a thread of its own; a smaller
one takes about as long as the change of threads."""


class ConfigurationDecoder:
    """Decodes configurations, of which the newest may be decoded in advance."""

    def __init__(self) -> None:
        self._value: bytes | None = None
        self._result: route_plan.RoutePlan | wire_values.WireValueError | None
        self._result = None

    async def prepare(
        self,
        records: Iterable[store_records.KeyedRecord],
        view: keyed_view.KeyedView,
    ) -> None:
        """Decodes the newest configuration among records, if it is large.

        Args:
            records: Records that are about to be merged, oldest first.
            view: View into which they are merged.
        """
        known = view.values().get(operator_wire.CONFIGURATION_KEY)
        newest = None
        for record in records:
            if record.key == operator_wire.CONFIGURATION_KEY:
                newest = record
        if newest is None or newest.value is None:
            return
        if known is not None and known.value == newest.value:
            return
        if len(newest.value) < _MIN_THREAD_BYTES:
            return
        self._result = await asyncio.to_thread(_decode, newest.value)
        self._value = newest.value

    def decode(self, value: bytes) -> route_plan.RoutePlan:
        """Decodes a configuration, unless that was done in advance.

        Raises:
            WireValueError: The configuration is malformed.
        """
        result = self._result if value is self._value else None
        self._value = self._result = None
        if result is None:
            result = _decode(value)
        if isinstance(result, wire_values.WireValueError):
            raise result
        return result


def _decode(
    value: bytes,
) -> route_plan.RoutePlan | wire_values.WireValueError:
    """Returns the configuration, or why it can't be decoded."""
    try:
        return operator_wire.decode_configuration(value)
    except wire_values.WireValueError as error:
        return error
