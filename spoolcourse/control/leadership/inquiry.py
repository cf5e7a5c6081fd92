"""A leader that can't ask the state service asks the other controllers for the cancellations
that they have confirmed or seen, so that work survives an outage in which nobody can confirm
any, and a cancellation that somebody could confirm still ends its tasks in time."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import msgspec

from spoolcourse.control.jobs.book import Book
from spoolcourse.control.jobs.cancellations import Cancellation
from spoolcourse.control.leadership.currency import Currency
from spoolcourse.control.leadership.election import Office
from spoolcourse.control.net import Net, NetError
from spoolcourse.control.store.keys import TERM
from spoolcourse.control.store.mirror import Mirror
from spoolcourse.wire.messages import Malformed, parse
from spoolcourse.wire.settings import Seed

log = logging.getLogger(__name__)

PATH = "/cancellations"
PERIOD_S = 1.0
LATE_S = 2.0  # without a read of the state service: the health check makes one each second
TIMEOUT_S = 1.0


class Testimony(msgspec.Struct, frozen=True):
    """What a controller answers. `cancelled` is null if it may have forgotten some."""

    term: int
    informed: bool
    cancelled: list[Cancellation] | None


def testify(book: Book, mirror: Mirror, query: str) -> dict[str, Any]:
    """The answer to a leader that knows everything up to the revision it names."""
    name, _, text = query.partition("=")
    if name != "beyond" or not text.isascii() or not text.isdigit():
        raise Malformed("beyond: a revision is needed")
    term = mirror.get(TERM)
    told = Testimony(
        term.value["term"] if term is not None else 0,
        mirror.synced_at > float("-inf"),
        book.cancellations.beyond(int(text)),
    )
    found: dict[str, Any] = msgspec.to_builtins(told)
    return found


class Inquiry:
    def __init__(
        self,
        net: Net,
        seeds: list[Seed],
        office: Office,
        mirror: Mirror,
        book: Book,
        currency: Currency,
        clock: Callable[[], float],
        depose: Callable[[str], None],
    ) -> None:
        self._net = net
        self._seeds = seeds
        self._office = office
        self._mirror = mirror
        self._book = book
        self._currency = currency
        self._clock = clock
        self._depose = depose

    async def run(self) -> None:
        while True:
            await asyncio.sleep(PERIOD_S)
            if self._clock() - self._mirror.synced_at > LATE_S:
                await self.ask()

    async def ask(self) -> None:
        asked = self._clock()
        path = f"{PATH}?beyond={self._mirror.ledger}"
        told = await asyncio.gather(*(self._ask(seed, path) for seed in self._seeds))
        for testimony in told:
            if testimony is not None and testimony.term > self._office.term:
                self._depose(f"a peer knows of term {testimony.term}")
                return
        for testimony in told:
            for found in (testimony and testimony.cancelled) or ():
                self._book.learn_cancelled(found)
        self._currency.vouched(
            asked, [t is not None and t.informed and t.cancelled is not None for t in told]
        )

    async def _ask(self, seed: Seed, path: str) -> Testimony | None:
        try:
            reply = await self._net.call(seed.endpoint, "GET", path, timeout=TIMEOUT_S)
            return parse(reply.data, Testimony) if reply.status == 200 else None
        except (NetError, Malformed) as exc:
            log.debug("%s does not say what it knows of cancellations: %s", seed.label, exc)
            return None
