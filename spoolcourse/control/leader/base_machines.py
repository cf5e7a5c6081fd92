"""Machines that were there before the service first ran: the operators' own.

They are used, but not returned for being idle. They are noted once and for all, at the first list
that any leader ever gets.
"""

from __future__ import annotations

import logging

import orjson

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.leadership.election import Term
from spoolcourse.control.store.client import RefusedError, UnclearError
from spoolcourse.control.store.keys import BASE, TERM
from spoolcourse.control.store.records import base_machines, base_value
from spoolcourse.wire.messages import Host, HostStage
from spoolcourse.wire.state_service import Put

log = logging.getLogger(__name__)

FIRST_TERM = 1


class BaseMachines:
    """Reads the note, and writes it where there is none."""

    def __init__(self, context: ControllerContext, term: Term) -> None:
        self._watch_cache = context.watch_cache
        self._client = context.client
        self._value_bytes = context.params.state.least.value_kb * 1024
        self._term = term

    def names(self) -> frozenset[str]:
        """The machines that are not returned for being idle."""
        entry = self._watch_cache.get(BASE)
        return base_machines(entry.value) if entry is not None else frozenset()

    async def note(self, hosts: list[Host]) -> None:
        """Note the ordinary machines that run, unless it is noted already."""
        if self._watch_cache.get(BASE) is not None:
            return
        value = self._value(hosts)
        conditions = {BASE: 0, TERM: self._term.revision}
        try:
            outcome = await self._client.txn(conditions, [Put(BASE, value)])
        except (RefusedError, UnclearError) as exc:
            log.info("the fleet found at the start is not noted yet: %s", exc)
            return
        if outcome.ok:
            self._watch_cache.apply(BASE, value, outcome.store_revision)

    def _value(self, hosts: list[Host]) -> dict[str, object]:
        if self._term.number != FIRST_TERM:
            return base_value([])  # some may have been rented by an earlier leader
        value = base_value([h.id for h in hosts if not h.spot and h.stage is HostStage.RUNNING])
        if len(orjson.dumps(value)) > self._value_bytes:
            return base_value([])  # a fleet of that size is not kept by name
        return value
