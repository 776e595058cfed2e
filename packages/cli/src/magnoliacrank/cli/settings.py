"""Settings of one entry instance, from flags and environment variables."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from magnoliacrank.cli import argument_parser
from magnoliacrank.model import ids

if TYPE_CHECKING:
    import argparse

_MAX_PORT = 65535
_MAX_PERIOD_S = 3600.0
_MAX_DRAIN_S = 86400.0


@attrs.frozen
class Settings:
    """Settings of one entry instance."""

    instance_id: ids.InstanceId
    """Name of the instance; it stays the same across restarts."""

    data_centre: ids.DataCentre
    """Data centre in which the instance runs."""

    host: str
    """IP address to listen on, at which other instances reach this one too."""

    http_port: int
    """TCP port for HTTP from callers and operators; 0 picks a free one."""

    peer_port: int
    """TCP port for calls from other entry instances; 0 picks a free one."""

    store_url: str
    """Base URL of the platform's store."""

    topic: str
    """Topic of the store that holds the system's own log."""

    list_period_s: float
    """Seconds between reads of the instance list."""

    entry_ttl_s: float
    """Seconds for which callers may cache which entry instances to use."""

    ticket_mint_s: float
    """Seconds from its issue for which a ticket accepts new idempotency keys.

    A ticket is a token that names the instance which handles these keys.
    """

    key_horizon_s: float
    """Seconds after `ticket_mint_s` for which repeated keys are recognised."""

    drain_timeout_s: float
    """Longest time that a shutdown waits for requests in flight, in seconds."""

    verbosity: int
    """Log verbosity: -1 for warnings, 0 for information, 1 for debugging."""


def add_arguments(parser: argument_parser.ArgumentParser) -> None:
    """Adds the flags of `serve`, grouped by topic."""
    _add_identity(parser.add_argument_group("instance"))
    _add_platform(parser.add_argument_group("platform"))
    _add_callers(parser.add_argument_group("callers"))
    _add_observability(parser.add_argument_group("observability"))


def from_arguments(arguments: argparse.Namespace) -> Settings:
    """Returns the settings for the parsed flags of `serve`."""
    names = [field.name for field in attrs.fields(Settings)]
    return Settings(**{name: getattr(arguments, name) for name in names})


def _add_identity(group: argparse._ArgumentGroup) -> None:
    port = argument_parser.whole_number(0, _MAX_PORT)
    group.add_argument(
        "--instance-id",
        type=argument_parser.identifier,
        required=True,
        help="name of this instance, the same over restarts",
    )
    group.add_argument(
        "--data-centre",
        type=argument_parser.identifier,
        required=True,
        help="data centre in which this instance stands",
    )
    group.add_argument(
        "--host",
        type=argument_parser.ip_address,
        default="127.0.0.1",
        help="IP number to listen on and to be reached under",
    )
    group.add_argument(
        "--http-port",
        type=port,
        default=8080,
        help="TCP port for callers and operators; 0 takes a free one",
    )
    group.add_argument(
        "--peer-port",
        type=port,
        default=8081,
        help="TCP port for other entry instances; 0 takes a free one",
    )


def _add_platform(group: argparse._ArgumentGroup) -> None:
    argument_parser.add_store_url_argument(group)
    argument_parser.add_topic_argument(group)
    group.add_argument(
        "--list-period-s",
        type=argument_parser.seconds(0.05, _MAX_PERIOD_S),
        default=1.0,
        help="seconds between two reads of the instance list",
    )


def _add_callers(group: argparse._ArgumentGroup) -> None:
    period = argument_parser.seconds(0.1, _MAX_PERIOD_S)
    long_period = argument_parser.seconds(1.0, _MAX_DRAIN_S)
    group.add_argument(
        "--entry-ttl-s",
        type=period,
        default=5.0,
        help="seconds for which callers may keep the answer about entries",
    )
    group.add_argument(
        "--ticket-mint-s",
        type=long_period,
        default=300.0,
        help="seconds in which a ticket makes new keys",
    )
    group.add_argument(
        "--key-horizon-s",
        type=long_period,
        default=900.0,
        help="seconds after that in which repeats of a key are recognised",
    )
    group.add_argument(
        "--drain-timeout-s",
        type=argument_parser.seconds(0.0, _MAX_DRAIN_S),
        default=60.0,
        help="seconds that requests in flight get at a shutdown",
    )


def _add_observability(group: argparse._ArgumentGroup) -> None:
    group.add_argument(
        "--verbosity",
        type=argument_parser.whole_number(-3, 2),
        default=0,
        help="verbosity of the log: -1 warnings, 0 information, 1 debugging",
    )
