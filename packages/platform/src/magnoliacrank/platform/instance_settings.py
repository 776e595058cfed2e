"""InstanceSettings: settings of one entry instance."""

from __future__ import annotations

import attrs


@attrs.frozen
class SafetyBounds:
    """Limits on the behaviour of the whole system, set by the operators."""

    drain_s: float = 2.0
    """Seconds for which a backend server that shuts down may get requests."""

    grace_s: float = 6.0
    """Seconds from SIGTERM until the platform kills the process."""

    retry_ratio: float = 0.2
    """Largest number of repeated requests, as a fraction of all requests."""

    retry_window_s: float = 10.0
    """Length of the retry budget's sliding window, in seconds."""

    retry_slack: float = 50.0
    """Repeated requests allowed in addition to `retry_ratio`.

    Counted in each window, over all instances.
    """

    exposure_share: float = 0.1
    """Largest fraction of requests that a version under trial may get."""

    exposure_slack: float = 50.0
    """Requests that a version under trial may get beyond `exposure_share`."""

    warmup_factor: float = 1.5
    """Largest rate of requests to a cold backend server.

    Stated as a multiple of the rate that is configured for cold servers.
    """

    warmup_slack: float = 5.0
    """Requests per second that a cold server may get beyond `warmup_factor`."""

    probes_per_s: float = 60.0
    """Largest rate of health checks to one backend server, per second."""

    directory_ttl_s: float = 5.0
    """Longest time in seconds for which callers may cache addresses."""

    lease_s: float = 3.0
    """Seconds within which a duty doesn't return to a former holder."""

    usage_window_s: float = 5.0
    """Length in seconds of a window of usage reports."""

    usage_late_s: float = 10.0
    """Seconds after the end of a window until which its usage is due."""


@attrs.frozen
class CloudSettings:
    """Interface of the platform that one instance at a time calls."""

    address: tuple[str, int]
    """Host and TCP port."""

    duties: tuple[str, ...]
    """Names of the duties."""

    duty_calls_per_s: float
    """Largest rate of calls per second, of all instances together."""


@attrs.frozen
class InstanceSettings:
    """Settings of one entry instance, read from its settings file."""

    node: str
    """Name of the instance."""

    ip: str
    """IP address of the instance."""

    data_centre: str
    """Data centre that the instance runs in."""

    front: tuple[str, int]
    """Host and port for requests of callers."""

    ready: tuple[str, int]
    """Host and port for the platform's readiness checks."""

    directory: tuple[str, int] | None
    """Host and port for callers' address lookups; None if not served."""

    peer_port: int
    """First of the ports for TCP and UDP traffic between instances."""

    store: tuple[str, int]
    """Host and port of the platform's store."""

    heartbeat_s: float
    """Seconds between two renewals of a backend server's store entry."""

    bounds: SafetyBounds
    """Limits on the behaviour of the whole system."""

    seeds: tuple[str, ...] = ()
    """IP addresses of a few instances, which may be stale or down."""

    cores: float = 1.0
    """CPU capacity of the instance, in cores of standard speed."""

    link_mbps: float = 1000.0
    """Bandwidth of the instance's network link, in Mbit/s."""

    memory_mb: float = 300.0
    """Memory use beyond which the process is killed, in MB."""

    cloud: CloudSettings | None = None
    """Interface for duties; None if there are none."""

    @property
    def store_url(self) -> str:
        """Base URL of the platform's store."""
        host, port = self.store
        return f"http://{host}:{port}"
