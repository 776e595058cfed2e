"""PeerDirectory: look-up of live entry instances for the request path."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from magnoliacrank.model import ids
    from magnoliacrank.model import instance


class PeerDirectory(Protocol):
    """The entry instances that the membership protocol considers alive."""

    @property
    def members(self) -> tuple[instance.EntryInstance, ...]:
        """Live instances, this one included."""
        ...

    def find(
        self, instance_id: ids.InstanceId
    ) -> instance.EntryInstance | None:
        """Returns the live instance of a name, or None."""
        ...
