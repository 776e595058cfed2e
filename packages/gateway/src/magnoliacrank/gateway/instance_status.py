"""InstanceStatus: status, notices, readiness and metrics for operators."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from magnoliacrank.gateway import peer_directory
    from magnoliacrank.gateway import request_metrics
    from magnoliacrank.gateway import service_directory
    from magnoliacrank.gateway import service_runtime
    from magnoliacrank.model import instance
    from magnoliacrank.state import log_follower

_Row = dict[str, Any]


class Phase(enum.Enum):
    """Phase in the life cycle of an instance."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class InstanceStatus:
    """Reports the state of this instance to operators.

    Args:
        own: This instance.
        follower: Reads the log and holds the state that results from it.
        services: Services in the configuration, with their crews (the
            instances that own a service's slots).
        peers: Directory of the live instances.
        metrics: Metrics of the request path.
        clock: Returns the monotonic time in seconds, like `time.monotonic`.
    """

    def __init__(
        self,
        own: instance.EntryInstance,
        follower: log_follower.LogFollower,
        services: service_directory.ServiceDirectory,
        peers: peer_directory.PeerDirectory,
        metrics: request_metrics.RequestMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._own = own
        self._follower = follower
        self._services = services
        self._peers = peers
        self._metrics = metrics
        self._clock = clock
        self.phase = Phase.STARTING
        """Phase of this instance, set by the process that runs it."""

    @property
    def is_ready(self) -> bool:
        """Whether the log was read to its end once, so its state is usable."""
        return self._follower.readiness.is_ready

    @property
    def readiness(self) -> str:
        """Text of the readiness path: "ready", or why it isn't ready."""
        if self.is_ready and self.phase is not Phase.SERVING:
            return str(self.phase.value)
        return self._follower.readiness.reason.value

    def describe(self) -> _Row:
        """Returns the content of the status path as a JSON-like mapping."""
        state = self._follower.state
        return {
            "instance": self._own.instance_id,
            "incarnation": self._own.incarnation,
            "data_centre": self._own.data_centre,
            "state": self.readiness,
            "version": state.version,
            "next_offset": state.next_offset,
            "members": [one.instance_id for one in self._peers.members],
            "data_centres": {
                name: value.value
                for name, value in state.configuration.data_centres.items()
            },
            "services": [
                self._describe_service(one) for one in self._services.services
            ],
        }

    def notices(self, from_offset: int) -> list[_Row]:
        """Returns the notices to operators, from an offset on.

        Args:
            from_offset: Offset in the log of the first record to include.
        """
        return [
            {
                "notice_id": notice.notice_id,
                "offset": notice.offset,
                "text": notice.text,
            }
            for notice in self._follower.state.notices
            if notice.offset >= from_offset
        ]

    def metrics(self, accepts: Sequence[str]) -> tuple[bytes, str]:
        """Returns the metrics page and its content type.

        Args:
            accepts: Accept headers of the request.
        """
        return self._metrics.render(accepts)

    def _describe_service(
        self, runtime: service_runtime.ServiceRuntime
    ) -> _Row:
        now_s = self._clock()
        crew = runtime.crew
        move = self._follower.state.moves.get(runtime.name)
        return {
            "name": runtime.name,
            "crew_number": None if crew is None else crew.number,
            "crew": []
            if crew is None
            else [member.instance_id for member in crew.members],
            "in_flight": runtime.gate.in_flight,
            "waiting": runtime.gate.waiting,
            "probes_spent": runtime.measuring.spent,
            "move": None
            if move is None
            else {
                "move_id": move.move_id,
                "phase": move.phase.value,
                "new_version": move.new_version,
                "route_shares": dict(move.route_shares),
            },
            "servers": [
                {
                    "server": server_id,
                    "state": runtime.router.life(server_id).value,
                    "limit": runtime.router.limit(server_id, now_s),
                    "free_slots": runtime.ledger.free(server_id, now_s),
                }
                for server_id in runtime.router.server_ids
            ],
        }
