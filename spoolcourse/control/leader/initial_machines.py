"""The initial machines: ordinary ones that ran before the service first did, the operators' own.

They are used, but never deleted for being idle. Their names are recorded once, at the first list
of machines that any leader ever gets; the first term's leader has rented none yet by then.
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
from spoolcourse.wire.messages import Host, HostStage

FIRST_TERM = 1


class InitialMachines:
    """Reads the recorded names, and records them where that has not been done."""

    def __init__(self, context: ControllerContext, term: Term) -> None:
        self._client = context.client
        self._watch_cache = context.watch_cache
        self._value_bytes = context.params.state.least.value_kb * 1024
        self._term = term

    def names(self) -> frozenset[str]:
        """The machines that are never deleted for being idle."""
        entry = self._watch_cache.get(INITIAL_MACHINES_KEY)
        if entry is None:
            return frozenset()
        names = initial_machines_of(entry.value)
        for part in range(1, further_parts_of(entry.value) + 1):
            part_entry = self._watch_cache.get(initial_machines_part_key(part))
            if part_entry is not None:
                names |= initial_machines_of(part_entry.value)
        return names

    async def record_once(self, hosts: list[Host]) -> None:
        """Record the ordinary machines that run, unless that has been done already.

        Further parts go first: the first value says how many there are, so it counts only once
        all of them are there. One value holds a few hundred names: of a larger fleet none was
        recorded, and its idle machines were deleted.
        """
        if self._watch_cache.get(INITIAL_MACHINES_KEY) is not None:
            return
        first, *others = initial_machines_values(self._initial_names(hosts), self._value_bytes)
        for part, value in enumerate(others, start=1):
            if not await self._write(initial_machines_part_key(part), value, {}):
                return
        await self._write(INITIAL_MACHINES_KEY, first, {INITIAL_MACHINES_KEY: 0})

    async def _write(
        self, key: str, value: dict[str, Any], expected_revisions: dict[str, int]
    ) -> bool:
        """Write one value if this term goes on; whether it is written."""
        return await write_fenced(
            self._client, self._watch_cache, self._term, key, value, expected_revisions
        )

    def _initial_names(self, hosts: list[Host]) -> list[str]:
        if self._term.number != FIRST_TERM:
            return []  # some may have been rented by an earlier leader
        return [h.id for h in hosts if not h.spot and h.stage is HostStage.RUNNING]
