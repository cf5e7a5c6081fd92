"""The initial machines: operators' on-demand machines from before the scheduler's first start.

They are used, but never deleted for being idle. Their names are recorded once, from the first
machine list that any leader gets. Only a list of the first term's leader shows which machines these
are, as that leader has provisioned none by then; a later leader records an empty list.
"""

from __future__ import annotations

from typing import Any

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.leadership.fenced_write import write_fenced
from spoolcourse.control.leadership.term import Term
from spoolcourse.control.store.keys import INITIAL_MACHINES_KEY, initial_machines_part_key
from spoolcourse.control.store.records import (
    further_parts_of,
    initial_machines_of,
    initial_machines_values,
)
from spoolcourse.wire.messages import ListedMachine, ListedMachineStage

FIRST_TERM = 1


class InitialMachines:
    """Reads the names of the initial machines, and records them once."""

    def __init__(self, context: ControllerContext, term: Term) -> None:
        self._client = context.store_client
        self._watch_cache = context.watch_cache
        self._value_bytes = context.params.state.lower_limits.value_kb * 1024
        self._term = term

    def names(self) -> frozenset[str]:
        """Return the names of the initial machines; empty until they are recorded."""
        entry = self._watch_cache.get(INITIAL_MACHINES_KEY)
        if entry is None:
            return frozenset()
        names = initial_machines_of(entry.value)
        for part in range(1, further_parts_of(entry.value) + 1):
            part_entry = self._watch_cache.get(initial_machines_part_key(part))
            if part_entry is not None:
                names |= initial_machines_of(part_entry.value)
        return names

    async def record_once(self, listed_machines: list[ListedMachine]) -> None:
        """Record the running on-demand machines, unless initial machines are already recorded.

        One value holds a few hundred names, so the names of a larger fleet are split into parts.
        Without parts, none of them were recorded, and idle initial machines were deleted. The first
        part holds the number of further parts and is written last, when all others exist.
        """
        if self._watch_cache.get(INITIAL_MACHINES_KEY) is not None:
            return
        first, *others = initial_machines_values(
            self._initial_machine_names(listed_machines), self._value_bytes
        )
        for part, value in enumerate(others, start=1):
            if not await self._write(initial_machines_part_key(part), value, {}):
                return
        await self._write(INITIAL_MACHINES_KEY, first, {INITIAL_MACHINES_KEY: 0})

    async def _write(
        self, key: str, value: dict[str, Any], expected_revisions: dict[str, int]
    ) -> bool:
        """Write one value unless the term has ended; return whether it was written."""
        return await write_fenced(
            self._client, self._watch_cache, self._term, key, value, expected_revisions
        )

    def _initial_machine_names(self, listed_machines: list[ListedMachine]) -> list[str]:
        if self._term.number != FIRST_TERM:
            return []  # an earlier leader may have provisioned some of the machines
        return [
            m.id for m in listed_machines if not m.spot and m.stage is ListedMachineStage.RUNNING
        ]
