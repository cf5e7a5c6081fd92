"""A leader's response to a query for hints.

A hint describes a worker that the leader knows, which improves the next leader's first placement
pass. It never proves that an attempt has ended, and it does not add its machine to the next
leader's registry: that leader requests a heartbeat from the worker, and the heartbeat does.
"""

from __future__ import annotations

from heapq import nsmallest
from itertools import islice

from spoolcourse.control.failover.hint_query import MAX_IMAGES_PER_MACHINE, HintQuery
from spoolcourse.control.workers.machine import Machine
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.wire.peers import Hint, HintPage


def build_hint_page(
    registry: WorkerRegistry, label: str, store_revision: int, query: str
) -> HintPage:
    """Build the page for a follower's query; raises `MalformedError` if the query is invalid.

    `label` is this controller's label; `store_revision` is the store revision that it has read.
    """
    page_query = HintQuery.parse(query)
    confirmed = (
        name
        for name, machine in registry.machines.items()
        if name > page_query.after and machine.confirmed
    )
    names = nsmallest(page_query.max_machines + 1, confirmed)  # one more shows if a page follows
    hints = [_build_hint(registry.machines[name]) for name in names[: page_query.max_machines]]
    has_next = len(names) > page_query.max_machines
    return HintPage(registry.fencing_token, label, store_revision, hints, has_next)


def _build_hint(machine: Machine) -> Hint:
    latest_images = islice(reversed(machine.images.items()), MAX_IMAGES_PER_MACHINE)
    return Hint(machine.id, machine.address, machine.incarnation, dict(latest_images))
