"""The parts of a controller that its status and its interfaces read."""

from __future__ import annotations

from dataclasses import dataclass

from spoolcourse.control.context import ControllerContext
from spoolcourse.control.failover.warm_standby import WarmStandby
from spoolcourse.control.health import HealthCheck
from spoolcourse.control.leader.term_lifecycle import TermLifecycle
from spoolcourse.control.leadership.election import Leadership


@dataclass(frozen=True, slots=True, kw_only=True)
class ControllerParts:
    """Made once for a controller; `standby` is None where the warm standby is off."""

    label: str
    context: ControllerContext
    leadership: Leadership
    lifecycle: TermLifecycle
    health: HealthCheck
    standby: WarmStandby | None
