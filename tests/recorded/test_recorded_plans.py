"""Placement, preemption and provisioning plans equal the recorded ones."""

from __future__ import annotations

from collections.abc import Iterable

import pytest

from tests.recorded.plans.generate import SUITES
from tests.recorded.plans.inputs import Fields

CASE_COUNTS = {
    "placement": 600,
    "preemption": 400,
    "provisioning": 300,
    "demand": 40,
    "surplus": 200,
}


def recorded_results(suite: str) -> Iterable[Fields]:
    return SUITES[suite].recorded().values()


def test_every_suite_is_compared() -> None:
    assert set(SUITES) == set(CASE_COUNTS)


@pytest.mark.parametrize("name", CASE_COUNTS)
def test_results_equal_the_recorded_ones(name: str) -> None:
    suite = SUITES[name]
    recorded = suite.recorded()
    assert list(recorded) == list(suite.seeds), "the recorded seeds are those of the suite"
    changed: dict[int, tuple[Fields, Fields]] = {}
    compared = 0
    for seed, expected in recorded.items():
        result = suite.result(seed)
        compared += 1
        if result != expected:
            changed[seed] = (expected, result)
    assert compared == CASE_COUNTS[name]
    first = next(iter(changed.items()), None)
    assert not changed, f"{len(changed)} of {compared} changed; seed, recorded, result: {first}"


def test_the_recorded_placements_cover_the_branches() -> None:
    plans = list(recorded_results("placement"))
    heads = [plan for plan in plans if plan["head"] is not None]
    reserved = [plan for plan in heads if plan["head_start"] is not None]
    backfilled = [
        plan for plan in reserved if any(job > plan["head"] for job, _, _ in plan["placements"])
    ]
    reasons = [reason for plan in plans for _, reason in plan["reasons"]]
    assert len(reserved) >= 60, "head reservations"
    assert len(heads) - len(reserved) >= 10, "heads whose start time is unknown"
    assert len(backfilled) >= 40, "backfill behind a reservation"
    assert sum(not plan["unplaced"] for plan in plans) >= 5, "everything placed"
    assert sum(len(plan["unplaced"]) > 1 for plan in plans) >= 60, "several jobs are left unplaced"
    for reason in ("machines", "image fetch", "team limit"):
        assert reasons.count(reason) >= 20, reason


def test_the_recorded_preemptions_cover_the_branches() -> None:
    victims_by_case = [result["victims"] for result in recorded_results("preemption")]
    assert sum(bool(victims) for victims in victims_by_case) >= 40
    assert sum(not victims for victims in victims_by_case) >= 20
    assert sum(len(victims) > 3 for victims in victims_by_case) >= 15


def test_the_recorded_provisions_cover_the_branches() -> None:
    recorded = list(recorded_results("provisioning"))
    for field in ("provisions", "provisions_for_unplaced", "spare_provisions"):
        assert sum(bool(result[field]) for result in recorded) >= 40, field
        assert sum(not result[field] for result in recorded) >= 3, field
    provisions = [entry for result in recorded for entry in result["provisions"]]
    assert {spot for _, _, spot, _ in provisions} == {True, False}
    assert max(count for *_, count in provisions) > 5


def test_the_recorded_demand_and_surplus_cover_the_branches() -> None:
    assert sum(len(set(result["peaks"])) > 2 for result in recorded_results("demand")) >= 10
    fleets = list(recorded_results("surplus"))
    assert sum(bool(fleet["surplus"]) for fleet in fleets) >= 10
    assert sum(not fleet["surplus"] for fleet in fleets) >= 10
    assert sum(fleet["missing_cpus"] > 0 for fleet in fleets) >= 10
