"""InstanceStatus: what operators see of one instance."""

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
    """Phase in the life of an instance."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class InstanceStatus:
    """Collects what is in force on this instance.

    Args:
        own: This instance.
        follower: The fold of the log.
        services: Services of this instance.
        peers: Live instances.
        metrics: Metrics of the request path.
        clock: Monotonic time in seconds.
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
        """Phase of this instance, set by its owner."""

    @property
    def is_ready(self) -> bool:
        """Whether the fold may be acted on."""
        return self._follower.readiness.is_ready

    @property
    def readiness(self) -> str:
        """Why the instance is ready or not."""
        if self.is_ready and self.phase is not Phase.SERVING:
            return str(self.phase.value)
        return self._follower.readiness.reason.value

    def describe(self) -> _Row:
        """Returns what is in force, for the status page."""
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
        """Returns the notices recorded at an offset or later."""
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
        """Returns the metrics page and its content type."""
        return self._metrics.render(accepts)

    def _describe_service(
        self, runtime: service_runtime.ServiceRuntime
    ) -> _Row:
        now_s = self._clock()
        crew = runtime.crew
        moving = self._follower.state.moves.get(runtime.name)
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
            if moving is None
            else {
                "move_id": moving.move_id,
                "phase": moving.phase.value,
                "new_version": moving.new_version,
                "route_shares": dict(moving.route_shares),
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
