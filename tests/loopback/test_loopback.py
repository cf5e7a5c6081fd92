"""Controller processes lose their leader at chosen points; the history breaks no rule.

For more trials with random seeds: `python -m tests.loopback --runs 20`.
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

import pytest

from tests.loopback.trial import FailoverTrial, Options

STANDBY = bool(os.environ.get("WARM_STANDBY"))


@pytest.mark.parametrize(
    "options",
    [
        Options(1, STANDBY, kills=3),
        Options(2, STANDBY, kills=3, lag=True),
        Options(3, STANDBY, controllers=5, kills=3),
    ],
    ids=["three controllers", "a burst before each loss", "five controllers"],
)
def test_no_rule_is_broken_when_leaders_are_killed_or_paused(
    options: Options, tmp_path: Path
) -> None:
    outcome = asyncio.run(FailoverTrial(options, tmp_path).run())
    assert outcome.broken == []
    assert len(outcome.takeovers) == options.kills
    assert outcome.submissions >= options.kills
