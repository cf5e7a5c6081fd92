"""Interfaces through which the autoscaler queries and notifies the leader that owns it."""

from __future__ import annotations

from typing import Protocol

from spoolcourse.wire.messages import ListedMachine


class ScaleInOwner(Protocol):
    """What scale-in asks the leader before it deletes a machine."""

    def initial_machine_names(self) -> frozenset[str]:
        """Return the names of the initial machines, which are not deleted for being idle."""
        ...

    def is_scarce_type(self, machine_type: str) -> bool:
        """Whether a recent job could use the machine type, but not all types.

        Idle machines of such a type are kept longer.
        """
        ...


class AutoscalerOwner(ScaleInOwner, Protocol):
    """What the autoscaler asks the leader, and the events that it reports to the leader."""

    def holds_lease(self) -> bool:
        """Whether this controller certainly still leads, so that it may provision machines."""
        ...

    async def on_machine_list(self, listed_machines: list[ListedMachine]) -> None:
        """Handle a new machine list of the cloud."""
        ...

    def on_fleet_summary(self) -> None:
        """Log the leader's own summary, after the fleet summary."""
        ...
