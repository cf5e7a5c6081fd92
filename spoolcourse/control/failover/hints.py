"""Hints: what a leader tells followers of its workers, so that a first pass is better.

A follower asks for them page by page, so what is lost on the way is asked for again, and a leader
that does not know the question (404) costs nothing. They never prove that an attempt has ended,
and no machine is known by them alone: a worker that they name is asked for its own heartbeat.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from enum import Enum
from heapq import nsmallest
from itertools import islice
from urllib.parse import parse_qs, quote

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.http_client import NoResponseError
from spoolcourse.control.leadership.term import known_term_number
from spoolcourse.control.workers.worker_registry import WorkerRegistry
from spoolcourse.wire import paths
from spoolcourse.wire.messages import MalformedError, parse
from spoolcourse.wire.peers import Hint, HintPage
from spoolcourse.wire.settings import Seed
from spoolcourse.wire.standby_settings import StandbySettings

log = logging.getLogger(__name__)

IMAGES_MOST = 16  # of a machine, the latest used
MACHINES_MOST = 500  # in one answer, whatever is asked for
KEPT_MOST = 20_000  # hints that a follower keeps
NAME_MOST = 200  # characters of a name or an address
NEXT_PAGE_S = 0.2
UNSUPPORTED_S = 30.0  # a leader of a version without hints is asked again after so long
TIMEOUT_S = 1.0


class HintRefusal(Enum):
    """Why an answer to a request for hints is not used."""

    MALFORMED = "malformed"
    TOO_LARGE = "too large"
    LOWER_TERM = "of a lower term"
    NOT_THE_LEADER = "not from the leader that was asked"


class HintRefusedError(Exception):
    """An answer that changes nothing."""

    def __init__(self, refusal: HintRefusal) -> None:
        super().__init__(refusal.value)
        self.refusal = refusal


def hints_path(after: str, most: int) -> str:
    """Where so many hints after a machine's name are asked for."""
    return f"{paths.HINTS}?after={quote(after)}&most={most}"


def hint_page(registry: WorkerRegistry, label: str, store_revision: int, query: str) -> HintPage:
    """A leader's answer."""
    fields = parse_qs(query)
    after, most = fields.get("after", [""])[0], fields.get("most", [""])[0]
    if not most.isascii() or not most.isdigit() or not 1 <= int(most) <= MACHINES_MOST:
        raise MalformedError(f"most: a number from 1 to {MACHINES_MOST} is needed")
    wanted = int(most)
    machines = registry.machines
    names = nsmallest(
        wanted + 1, (name for name, m in machines.items() if name > after and m.confirmed)
    )
    hints = [
        Hint(m.id, m.address, m.incarnation, dict(islice(reversed(m.images.items()), IMAGES_MOST)))
        for m in (machines[name] for name in names[:wanted])
    ]
    term = registry.fencing_token
    return HintPage(term, label, store_revision, hints, len(names) > wanted)


class HintBook:
    """What a follower keeps of the hints of one term."""

    def __init__(self) -> None:
        self._hints: dict[str, Hint] = {}
        self._term = 0
        self.leader_revision = -1
        self.refused: Counter[HintRefusal] = Counter()

    def __len__(self) -> int:
        """How many workers are hinted at."""
        return len(self._hints)

    def of_term(self, term: int) -> list[Hint]:
        """The hints of a term; those of earlier ones are stale."""
        return list(self._hints.values()) if term == self._term else []

    def take(self, page: HintPage, asked: str, after: str, most: int, least_term: int) -> None:
        """Take in the answer of the leader that was asked, or refuse and count it."""
        try:
            _check(page, asked, after, most, max(least_term, self._term))
        except HintRefusedError as exc:
            self.refuse(exc.refusal)
            raise
        if page.term > self._term:
            self._hints.clear()
            self._term = page.term
        self.leader_revision = page.revision
        self._replace(page, after)

    def refuse(self, refusal: HintRefusal) -> None:
        """Count an answer that is not used."""
        self.refused[refusal] += 1

    def _replace(self, page: HintPage, after: str) -> None:
        """The page says all there is to be said of the names that it covers."""
        last = page.hints[-1].machine if page.has_next and page.hints else None
        for name in [n for n in self._hints if n > after and (last is None or n <= last)]:
            del self._hints[name]
        for hint in page.hints:
            if len(self._hints) < KEPT_MOST:
                self._hints[hint.machine] = hint


def _check(page: HintPage, asked: str, after: str, most: int, least_term: int) -> None:
    if page.leader != asked:
        raise HintRefusedError(HintRefusal.NOT_THE_LEADER)
    if page.term < least_term:
        raise HintRefusedError(HintRefusal.LOWER_TERM)
    if len(page.hints) > most or any(_is_too_large(hint) for hint in page.hints):
        raise HintRefusedError(HintRefusal.TOO_LARGE)
    names = [after, *(hint.machine for hint in page.hints)]
    if names != sorted(set(names)) or (page.has_next and not page.hints):
        raise HintRefusedError(HintRefusal.MALFORMED)


def _is_too_large(hint: Hint) -> bool:
    return (
        len(hint.images) > IMAGES_MOST
        or max(len(hint.machine), len(hint.address), *map(len, hint.images), 0) > NAME_MOST
    )


class HintLoop:
    """A follower's requests to the leader, one page at a time."""

    def __init__(
        self,
        context: ControllerContext,
        settings: StandbySettings,
        book: HintBook,
        leader_label: Callable[[], str | None],
    ) -> None:
        self._net = context.net
        self._watch_cache = context.watch_cache
        self._seeds = {seed.label: seed for seed in context.peers}
        self._settings = settings
        self._book = book
        self._leader_label = leader_label
        self._after = ""

    async def run(self) -> None:
        """Ask again and again, until cancelled; a controller that leads itself asks nobody."""
        while True:
            seed = self._seeds.get(self._leader_label() or "")
            pause_s = self._settings.hint_period_s
            if seed is not None:
                pause_s = await self._ask(seed)
            await asyncio.sleep(pause_s)

    async def _ask(self, seed: Seed) -> float:
        """Ask for the next page; how long to wait before the one after it."""
        most, after = self._settings.hint_machines, self._after
        self._after = ""
        try:
            reply = await self._net.call(
                seed.endpoint, "GET", hints_path(after, most), timeout=TIMEOUT_S
            )
            if reply.status != 200:
                return UNSUPPORTED_S if reply.status == 404 else self._settings.hint_period_s
            page = parse(reply.data, HintPage)
            self._book.take(page, seed.label, after, most, known_term_number(self._watch_cache))
        except MalformedError:
            self._book.refuse(HintRefusal.MALFORMED)
        except HintRefusedError as exc:
            log.info("hints of %s refused: %s", seed.label, exc)
        except NoResponseError as exc:
            log.debug("no hints: %s", exc)
        else:
            if page.has_next:
                self._after = page.hints[-1].machine
                return min(NEXT_PAGE_S, self._settings.hint_period_s)
        return self._settings.hint_period_s
