"""Judges records that the store lists after it came back from an older copy.

Failure: the store returns without its newest writes. Their authors write them
again within seconds. Until then a listing shows older values and lacks keys,
and doesn't tell these from writes after the return.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnoliacrank.model import backend_entry

REWRITE_WINDOW_S = {"operators": 10.0, "servers": 2.5}
"""Seconds after the first listing of an era for which a known value stays in
force if the listing has another one that may be older, by the authors of the
records. Backend servers write about every 1.5 s."""


class Standing(enum.Enum):
    """How a listed value relates to the value known from before."""

    NEWER = "newer"
    """The listed value takes effect at once."""

    UNCERTAIN = "uncertain"
    """The known value stays in force until the key is written again, or until
    the end of the rewrite window."""

    OLDER = "older"
    """The known value stays in force until the key is written again."""


def judge_configuration(known: int, listed: int | None) -> Standing:
    """Judges a configuration; one in force is never replaced by an older one.

    Args:
        known: Version of the known configuration.
        listed: Version of the listed one; None if none is listed, or it can't
            be read.
    """
    if listed is not None and listed > known:
        return Standing.NEWER
    return Standing.OLDER


def judge_server(
    known: backend_entry.BackendEntry | None,
    listed: backend_entry.BackendEntry | None,
) -> Standing:
    """Judges the entry of a backend server.

    A running server writes its entry again at its next heartbeat, so a removal
    or an announced shutdown stays known without a time limit.

    Args:
        known: The known entry; None if it was removed.
        listed: The listed entry; None if there is none.
    """
    if known is None:
        return Standing.OLDER
    if listed is None:
        return Standing.UNCERTAIN
    if known.born_ms is None or listed.born_ms is None:
        return Standing.OLDER if known.is_draining else Standing.UNCERTAIN
    if listed.born_ms != known.born_ms:
        is_newer = listed.born_ms > known.born_ms
        return Standing.NEWER if is_newer else Standing.UNCERTAIN
    if known.is_draining:
        return Standing.OLDER
    return Standing.NEWER if listed.is_draining else Standing.UNCERTAIN
