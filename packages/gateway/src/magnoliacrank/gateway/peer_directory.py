"""PeerDirectory: what the request path needs to know of other instances."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from magnoliacrank.model import ids
    from magnoliacrank.model import instance


class PeerDirectory(Protocol):
    """The live entry instances, as membership knows them."""

    @property
    def members(self) -> tuple[instance.EntryInstance, ...]:
        """Live instances, this one included."""
        ...

    def find(
        self, instance_id: ids.InstanceId
    ) -> instance.EntryInstance | None:
        """Returns a live instance, or None."""
        ...
