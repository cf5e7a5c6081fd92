"""The components of a controller that its status and its HTTP interfaces read."""

from __future__ import annotations

from dataclasses import dataclass

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.failover.warm_standby import WarmStandby
from spoolcourse.control.health import HealthCheck
from spoolcourse.control.leader.term_lifecycle import TermLifecycle
from spoolcourse.control.leadership.election import Leadership


@dataclass(frozen=True, slots=True, kw_only=True)
class ControllerParts:
    """The components of one controller; `standby` is None if the warm standby is disabled."""

    label: str
    context: ControllerContext
    leadership: Leadership
    lifecycle: TermLifecycle
    health: HealthCheck
    standby: WarmStandby | None
