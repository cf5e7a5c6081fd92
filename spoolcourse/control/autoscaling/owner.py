"""What the autoscaler asks of the leader that owns it, and reports to it."""

from __future__ import annotations

from typing import Protocol

from spoolcourse.wire.messages import Host


class ScaleInOwner(Protocol):
    """What scale-in asks before a machine is deleted."""

    def initial_machine_names(self) -> frozenset[str]:
        """Machines that were there before the service first ran: not deleted for being idle."""
        ...

    def is_scarce_type(self, machine_type: str) -> bool:
        """Whether jobs depend on the machine type, so that idle machines of it stay longer."""
        ...


class AutoscalerOwner(ScaleInOwner, Protocol):
    """What the whole autoscaler asks and reports."""

    def holds_lease(self) -> bool:
        """Whether no other controller can lead by now, so that machines may be rented."""
        ...

    async def on_machine_list(self, hosts: list[Host]) -> None:
        """The cloud has listed its machines."""
        ...

    def on_fleet_summary(self) -> None:
        """The fleet summary was logged: time for the leader's own lines."""
        ...
