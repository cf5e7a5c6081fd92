"""Leadership transfer: on request, the leader steps down if another controller is caught up.

A controller is caught up if it could lead without a restore of the job queue: its shadow is usable
and the key-value store has responded to it recently.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.leadership.election import Leadership
from spoolcourse.control.leadership.peers import STANDBY_QUERY, query_peers
from spoolcourse.wire.peers import LeadershipTransferResponse, StandbyResponse


class PeerIneligibility(Enum):
    """Why another controller is not eligible to succeed this leader."""

    NO_RESPONSE = "no reply"  # or a version without the standby query
    NOT_CAUGHT_UP = "not caught up"
    OTHER_TERM = "other term"  # the controller does not know this term yet, or knows a later one


@dataclass(frozen=True, slots=True)
class IneligiblePeer:
    """A controller that is not eligible, with its response if there was one."""

    label: str
    ineligibility: PeerIneligibility
    leader_term: int  # the term of the leader that asked
    response: StandbyResponse | None = None

    def __str__(self) -> str:
        """The text for the operator who requested the transfer."""
        if self.response is None:
            return f"{self.label} does not answer"
        if self.ineligibility is PeerIneligibility.NOT_CAUGHT_UP:
            return f"{self.label} is not: {self.response.reason}"
        return f"{self.label} knows of term {self.response.term}, not of {self.leader_term}"


class TransferRefusal(Enum):
    """Why leadership was not transferred. The values are shown to the operator."""

    LEASE_UNCERTAIN = "this controller is not sure to lead"
    NO_SUCCESSOR = "no standby is caught up"
    TERM_ENDED = "this controller does not lead any more"


class LeadershipTransferRefusedError(Exception):
    """Leadership was not transferred; nothing has changed."""

    def __init__(
        self, refusal: TransferRefusal, ineligible_peers: Sequence[IneligiblePeer] = ()
    ) -> None:
        message = refusal.value
        if refusal is TransferRefusal.NO_SUCCESSOR:
            message += ": " + ("; ".join(map(str, ineligible_peers)) or "no peers")
        super().__init__(message)
        self.refusal = refusal
        self.ineligible_peers = ineligible_peers


async def transfer_leadership(
    context: ControllerContext, leadership: Leadership
) -> LeadershipTransferResponse:
    """Step down if another controller is caught up; an election decides which one leads next.

    Raises `LeadershipTransferRefusedError` if no other is, or if this controller does not lead.
    """
    term = leadership.term
    if term is None or not leadership.holds_lease():
        raise LeadershipTransferRefusedError(TransferRefusal.LEASE_UNCERTAIN)
    responses = await query_peers(context.http_client, context.peers, STANDBY_QUERY)
    successors: list[str] = []
    ineligible_peers: list[IneligiblePeer] = []
    for peer, response in zip(context.peers, responses, strict=True):
        ineligibility = _ineligibility(response, term.number)
        if ineligibility is None:
            successors.append(peer.label)
        else:
            ineligible_peers.append(
                IneligiblePeer(peer.label, ineligibility, term.number, response)
            )
    if not successors:
        raise LeadershipTransferRefusedError(TransferRefusal.NO_SUCCESSOR, ineligible_peers)
    if leadership.term is not term:
        raise LeadershipTransferRefusedError(TransferRefusal.TERM_ENDED)
    await leadership.step_down_and_release_lease(
        f"leadership transferred to one of {', '.join(successors)}"
    )
    return LeadershipTransferResponse(term.number, successors)


def _ineligibility(response: StandbyResponse | None, term: int) -> PeerIneligibility | None:
    if response is None:
        return PeerIneligibility.NO_RESPONSE
    if not response.caught_up:
        return PeerIneligibility.NOT_CAUGHT_UP
    return PeerIneligibility.OTHER_TERM if response.term != term else None
