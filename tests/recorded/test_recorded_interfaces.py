"""Status, metrics, command line, policy and answers keep their recorded formats.

The data were recorded from ce417e6. See `tests/recorded/forms/__init__.py`.
"""

from __future__ import annotations

import os
from functools import cache
from typing import Any

import pytest

from tests.fakes.world import STANDBY
from tests.recorded.forms import as_text, recorded
from tests.recorded.forms.interfaces import INTERFACES, VARIANTS

CASES = [(file, name) for file in INTERFACES for name in recorded(file)]
ANSWERS = [(group, name) for group, cases in recorded("answers").items() for name in cases]
TRAFFIC = [(group, name) for group, cases in recorded("traffic").items() for name in cases]


@cache
def _run_once(file: str) -> dict[str, Any] | Exception:
    try:
        return INTERFACES[file]()
    except Exception as exc:
        return exc


def current(file: str) -> dict[str, Any]:
    """Run a scenario once, even if it fails: then each of its cases fails."""
    result = _run_once(file)
    if isinstance(result, Exception):
        raise result
    return result


@pytest.mark.parametrize("file", INTERFACES)
def test_an_interface_has_exactly_the_recorded_cases(file: str) -> None:
    assert list(current(file)) == list(recorded(file))


@pytest.mark.parametrize(
    ("file", "name"), [case for case in CASES if case[0] not in ("answers", "traffic")]
)
def test_an_interface_is_as_recorded(file: str, name: str) -> None:
    assert as_text(current(file)[name]) == as_text(recorded(file)[name])


@pytest.mark.parametrize("group", recorded("answers"))
def test_exactly_the_recorded_requests_are_made(group: str) -> None:
    assert list(current("answers")[group]) == list(recorded("answers")[group])


@pytest.mark.parametrize(("group", "name"), ANSWERS)
def test_an_answer_is_as_recorded(group: str, name: str) -> None:
    assert as_text(current("answers")[group][name]) == as_text(recorded("answers")[group][name])


@pytest.mark.parametrize("group", recorded("traffic"))
def test_exactly_the_recorded_kinds_of_requests_are_sent(group: str) -> None:
    assert sorted(current("traffic")[group]) == sorted(recorded("traffic")[group])


@pytest.mark.parametrize(("group", "name"), TRAFFIC)
def test_a_request_and_its_answer_have_the_recorded_fields(group: str, name: str) -> None:
    assert as_text(current("traffic")[group][name]) == as_text(recorded("traffic")[group][name])


def test_the_variants_have_the_standby_settings_of_the_other_tests() -> None:
    name = "standby on" if os.environ.get("WARM_STANDBY") else "standby off"
    assert VARIANTS[name] == STANDBY
