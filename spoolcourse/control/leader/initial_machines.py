"""Machines that were there before the service first ran: the operators' own.

They are used, but not returned for being idle. They are noted once and for all, at the first list
that any leader ever gets.
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
    """Reads the note, and writes it where there is none."""

    def __init__(self, context: ControllerContext, term: Term) -> None:
        self._context = context
        self._watch_cache = context.watch_cache
        self._value_bytes = context.params.state.least.value_kb * 1024
        self._term = term

    def names(self) -> frozenset[str]:
        """The machines that are not returned for being idle."""
        entry = self._watch_cache.get(INITIAL_MACHINES_KEY)
        if entry is None:
            return frozenset()
        found = initial_machines_of(entry.value)
        for part in range(1, further_parts_of(entry.value) + 1):
            further = self._watch_cache.get(initial_machines_part_key(part))
            if further is not None:
                found |= initial_machines_of(further.value)
        return found

    async def note(self, hosts: list[Host]) -> None:
        """Note the ordinary machines that run, unless it is noted already.

        Further parts go first: the first value says how many there are, so it counts only once
        all of them are there. Names that one value held were a few hundred; of a larger fleet
        none was noted, and its idle machines were returned.
        """
        if self._watch_cache.get(INITIAL_MACHINES_KEY) is not None:
            return
        first, *others = initial_machines_values(self._found(hosts), self._value_bytes)
        for part, value in enumerate(others, start=1):
            if not await self._put(initial_machines_part_key(part), value, {}):
                return
        await self._put(INITIAL_MACHINES_KEY, first, {INITIAL_MACHINES_KEY: 0})

    async def _put(
        self, key: str, value: dict[str, Any], expected_revisions: dict[str, int]
    ) -> bool:
        """Write one value if this term goes on; whether it is written."""
        client, watch_cache = self._context.client, self._watch_cache
        return await write_fenced(client, watch_cache, self._term, key, value, expected_revisions)

    def _found(self, hosts: list[Host]) -> list[str]:
        if self._term.number != FIRST_TERM:
            return []  # some may have been rented by an earlier leader
        return [h.id for h in hosts if not h.spot and h.stage is HostStage.RUNNING]
