"""A leader that steps down on request, to a standby that is caught up."""

from __future__ import annotations

import logging

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.leadership.election import Leadership
from spoolcourse.control.leadership.peers import STANDBY_QUERY, query_peers
from spoolcourse.wire.peers import HandoverReply, StandbyReply

log = logging.getLogger(__name__)


class HandoverRefusedError(Exception):
    """The leader goes on leading."""


async def hand_over(context: ControllerContext, leadership: Leadership) -> HandoverReply:
    """Step down if some other controller is caught up; raises `HandoverRefusedError` if none is."""
    term = leadership.term
    if term is None or not leadership.holds_lease():
        raise HandoverRefusedError("this controller is not sure to lead")
    replies = await query_peers(context.net, context.peers, STANDBY_QUERY)
    successors: list[str] = []
    reasons: list[str] = []
    for peer, reply in zip(context.peers, replies, strict=True):
        reason = _why_not(reply, term.number)
        if reason is None:
            successors.append(peer.label)
        else:
            reasons.append(f"{peer.label} {reason}")
    if not successors:
        raise HandoverRefusedError("no standby is caught up: " + "; ".join(reasons or ["no peers"]))
    if leadership.term is not term:
        raise HandoverRefusedError("this controller does not lead any more")
    await leadership.step_down_and_release_lease(f"handed over to one of {', '.join(successors)}")
    return HandoverReply(term.number, successors)


def _why_not(reply: StandbyReply | None, term: int) -> str | None:
    if reply is None:
        return "does not answer"
    if not reply.caught_up:
        return f"is not: {reply.reason}"
    if reply.term != term:
        return f"knows of term {reply.term}, not of {term}"
    return None
