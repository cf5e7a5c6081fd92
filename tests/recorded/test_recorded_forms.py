"""Stored records, messages, paths and settings keep the recorded forms, byte for byte.

The data were written by ce417e6. See `tests/recorded/forms/__init__.py`.
"""

from __future__ import annotations

import pytest

from tests.recorded.forms import as_text, recorded
from tests.recorded.forms.adapter import FORMS, PLAIN

FORM_CASES = [(file, name) for file in FORMS for name in recorded(file)]
PLAIN_CASES = [(file, name) for file in PLAIN for name in recorded(file)]


@pytest.mark.parametrize(("file", "name"), FORM_CASES)
def test_a_recorded_form_is_read_and_written_again_byte_for_byte(file: str, name: str) -> None:
    text, form = recorded(file)[name], FORMS[file][name]
    assert form.written() == text
    assert form.read_and_written(text) == text
    assert form.read(text) == form.sample


@pytest.mark.parametrize("file", [*FORMS, *PLAIN])
def test_every_sample_is_recorded(file: str) -> None:
    names = list(FORMS[file]) if file in FORMS else list(PLAIN[file]())
    assert list(recorded(file)) == names


@pytest.fixture(scope="module")
def plain() -> dict[str, dict[str, object]]:
    return {file: make() for file, make in PLAIN.items()}


@pytest.mark.parametrize(("file", "name"), PLAIN_CASES)
def test_a_recorded_value_is_still_made(
    file: str, name: str, plain: dict[str, dict[str, object]]
) -> None:
    assert as_text(plain[file][name]) == as_text(recorded(file)[name])
