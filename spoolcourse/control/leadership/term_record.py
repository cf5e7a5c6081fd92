"""Values written once and for all by a leader, if its term goes on."""

from __future__ import annotations

from typing import Any

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.leadership.election import Term
from spoolcourse.control.store.conditional_write import write_if
from spoolcourse.control.store.keys import TERM_KEY


async def write_in_term(
    context: ControllerContext,
    term: Term,
    key: str,
    value: dict[str, Any],
    conditions: dict[str, int],
) -> bool:
    """Write a value if the term goes on and the conditions hold; whether it is written.

    After False it may be written nevertheless, now or later: the watch cache will show that.
    """
    conditions = conditions | {TERM_KEY: term.revision}
    return await write_if(context.client, context.watch_cache, key, value, conditions)
