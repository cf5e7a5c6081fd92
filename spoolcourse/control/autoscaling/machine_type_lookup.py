"""Sizes and boot times of machines by type, from the current catalog."""

from __future__ import annotations

from collections.abc import Callable

from spoolcourse.control.workers.machine import Machine
from spoolcourse.wire.messages import MachineType

DEFAULT_BOOT_S = 60.0  # for a type that is not in the catalog


class MachineTypeLookup:
    """Looks up the types of machines; `machine_types` returns the current types by name."""

    def __init__(self, machine_types: Callable[[], dict[str, MachineType]]) -> None:
        self.machine_types = machine_types

    def type_of(self, machine: Machine) -> MachineType | None:
        """Return the machine's type, if it is known."""
        return self.machine_types().get(machine.machine_type or "")

    def cpus(self, machine: Machine) -> float:
        """Return the machine's CPUs; 0 if its type is unknown."""
        machine_type = self.type_of(machine)
        return machine_type.cpus if machine_type else 0.0

    def boot_s(self, machine: Machine) -> float:
        """Return the usual boot time of the machine's type, in seconds."""
        machine_type = self.type_of(machine)
        return machine_type.boot_s if machine_type else DEFAULT_BOOT_S
