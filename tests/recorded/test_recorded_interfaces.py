"""What operators and users see keeps its form: status, metrics, command line, policy, answers.

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
ANSWERS = [(group, name) for group, found in recorded("answers").items() for name in found]
TRAFFIC = [(group, name) for group, found in recorded("traffic").items() for name in found]


@cache
def _played(file: str) -> dict[str, Any] | Exception:
    try:
        return INTERFACES[file]()
    except Exception as exc:
        return exc


def made(file: str) -> dict[str, Any]:
    """A scenario is played once, also if it fails: then all of its cases do."""
    found = _played(file)
    if isinstance(found, Exception):
        raise found
    return found


@pytest.mark.parametrize("file", INTERFACES)
def test_nothing_is_left_out_or_new(file: str) -> None:
    assert list(made(file)) == list(recorded(file))


@pytest.mark.parametrize(
    ("file", "name"), [case for case in CASES if case[0] not in ("answers", "traffic")]
)
def test_an_interface_is_as_recorded(file: str, name: str) -> None:
    assert as_text(made(file)[name]) == as_text(recorded(file)[name])


@pytest.mark.parametrize("group", recorded("answers"))
def test_the_same_requests_are_asked(group: str) -> None:
    assert list(made("answers")[group]) == list(recorded("answers")[group])


@pytest.mark.parametrize(("group", "name"), ANSWERS)
def test_an_answer_is_as_recorded(group: str, name: str) -> None:
    assert as_text(made("answers")[group][name]) == as_text(recorded("answers")[group][name])


@pytest.mark.parametrize("group", recorded("traffic"))
def test_the_same_kinds_of_requests_are_sent(group: str) -> None:
    assert sorted(made("traffic")[group]) == sorted(recorded("traffic")[group])


@pytest.mark.parametrize(("group", "name"), TRAFFIC)
def test_a_request_carries_what_is_recorded(group: str, name: str) -> None:
    assert as_text(made("traffic")[group][name]) == as_text(recorded("traffic")[group][name])


def test_the_variants_are_those_of_the_other_tests() -> None:
    name = "standby on" if os.environ.get("WARM_STANDBY") else "standby off"
    assert VARIANTS[name] == STANDBY
