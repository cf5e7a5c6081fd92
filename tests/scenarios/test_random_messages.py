"""No rule is broken, and every job ends, while messages are lost, late, reset and repeated."""

from __future__ import annotations

import pytest

from tests.fakes.random_messages import RandomMessages

SEEDS = range(8)


@pytest.mark.parametrize("seed", SEEDS)
async def test_jobs_end_and_no_rule_is_broken_while_messages_go_astray(seed: int) -> None:
    await RandomMessages(seed).play()
