"""A leader's answer to a query for hints.

Hints describe the workers that a leader knows, so that the next leader's first placement pass is
better. They never prove that an attempt has ended, and no machine is known by them alone: a worker
that they name is asked for its own heartbeat.
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
    """The page that a follower asks for; raises `MalformedError` for a query out of range.

    `label` is this controller's; `store_revision` is how far it has read the key-value store.
    """
    wanted = HintQuery.parse(query)
    confirmed = (
        name
        for name, machine in registry.machines.items()
        if name > wanted.after and machine.confirmed
    )
    names = nsmallest(wanted.max_machines + 1, confirmed)  # one more shows whether a page follows
    hints = [_hint_of(registry.machines[name]) for name in names[: wanted.max_machines]]
    has_next = len(names) > wanted.max_machines
    return HintPage(registry.fencing_token, label, store_revision, hints, has_next)


def _hint_of(machine: Machine) -> Hint:
    latest_images = islice(reversed(machine.images.items()), MAX_IMAGES_PER_MACHINE)
    return Hint(machine.id, machine.address, machine.incarnation, dict(latest_images))
