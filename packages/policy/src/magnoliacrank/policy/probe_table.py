"""Table of the failure detector's probes that wait for an answer."""

from __future__ import annotations

import enum

import attrs

from magnoliacrank.model import ids

_DIRECT_TIMEOUT_S = 0.5
_INDIRECT_TIMEOUT_S = 0.5
_RELAY_TIMEOUT_S = 1.0


class ProbeStage(enum.Enum):
    """Stage of a probe, by how it tries to reach its target."""

    DIRECT = "direct"
    """One ping to the target."""

    INDIRECT = "indirect"
    """A second ping to the target, and pings by other members."""


@attrs.define
class Probe:
    """One probe of a member."""

    target: ids.InstanceId
    """Member that is probed."""

    deadline_s: float
    """Monotonic time in seconds at which the stage ends."""

    is_monitored: bool
    """Whether the target becomes suspect if it does not answer. Otherwise there
    is no indirect stage."""

    stage: ProbeStage = ProbeStage.DIRECT
    """Current stage."""


@attrs.frozen
class Relay:
    """A ping sent on behalf of another member."""

    origin: ids.InstanceId
    """Member that asked for it."""

    sequence: int
    """Sequence of the probe at the origin."""

    deadline_s: float
    """Monotonic time in seconds from which an answer is no longer relayed."""


@attrs.frozen
class ExpiredProbes:
    """Probes whose stage ended without an answer."""

    direct: dict[int, Probe]
    """Probes whose direct stage ended and whose indirect stage begins, by
    sequence."""

    failed: list[Probe]
    """Probes that ended without an answer."""


class ProbeTable:
    """Assigns sequences to probes and tracks those that wait for an answer."""

    def __init__(self) -> None:
        self._probes: dict[int, Probe] = {}
        self._relays: dict[int, Relay] = {}
        self._last_sequence = 0

    def begin(
        self, target: ids.InstanceId, now_s: float, *, is_monitored: bool
    ) -> int:
        """Adds a probe and returns its sequence."""
        sequence = self._next_sequence()
        deadline_s = now_s + _DIRECT_TIMEOUT_S
        self._probes[sequence] = Probe(target, deadline_s, is_monitored)
        return sequence

    def begin_relay(
        self, origin: ids.InstanceId, origin_sequence: int, now_s: float
    ) -> int:
        """Adds a ping on behalf of another member; returns its sequence."""
        sequence = self._next_sequence()
        deadline_s = now_s + _RELAY_TIMEOUT_S
        self._relays[sequence] = Relay(origin, origin_sequence, deadline_s)
        return sequence

    def is_pending(self, target: ids.InstanceId) -> bool:
        """Returns whether a probe of a member waits for an answer."""
        return any(one.target == target for one in self._probes.values())

    def end(self, sequence: int) -> Relay | None:
        """Removes a probe or relay that was answered.

        Returns:
            The relay, if the ping was sent on behalf of another member.
        """
        self._probes.pop(sequence, None)
        return self._relays.pop(sequence, None)

    def on_send_failed(self, sequence: int, now_s: float) -> None:
        """Ends the direct stage of a probe whose ping could not be sent."""
        probe = self._probes.get(sequence)
        if probe is not None and probe.stage is ProbeStage.DIRECT:
            probe.deadline_s = now_s

    def expire(self, now_s: float) -> ExpiredProbes:
        """Moves probes whose stage has ended to the next stage, or ends them.

        Returns:
            The probes whose stage has ended.
        """
        expired = ExpiredProbes({}, [])
        for sequence, probe in list(self._probes.items()):
            if now_s < probe.deadline_s:
                continue
            if probe.stage is ProbeStage.DIRECT and probe.is_monitored:
                probe.stage = ProbeStage.INDIRECT
                probe.deadline_s = now_s + _INDIRECT_TIMEOUT_S
                expired.direct[sequence] = probe
            else:
                del self._probes[sequence]
                expired.failed.append(probe)
        for sequence, relay in list(self._relays.items()):
            if now_s >= relay.deadline_s:
                del self._relays[sequence]
        return expired

    def clear(self) -> None:
        """Removes all probes and relays, as after a pause of the process."""
        self._probes.clear()
        self._relays.clear()

    def _next_sequence(self) -> int:
        self._last_sequence += 1
        return self._last_sequence
