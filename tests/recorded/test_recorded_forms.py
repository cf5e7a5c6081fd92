"""Stored records, messages, paths and settings keep the recorded formats, byte for byte.

The data was recorded at ce417e6. See `tests/recorded/forms/__init__.py`.
"""

from __future__ import annotations

import pytest

from tests.recorded.forms import as_text, recorded
from tests.recorded.forms.adapter import CODEC_CASES, VALUE_RECORDERS

CODEC_CASE_NAMES = [(file, name) for file in CODEC_CASES for name in recorded(file)]
VALUE_NAMES = [(file, name) for file in VALUE_RECORDERS for name in recorded(file)]


@pytest.mark.parametrize(("file", "name"), CODEC_CASE_NAMES)
def test_recorded_json_round_trips_byte_for_byte(file: str, name: str) -> None:
    text, case = recorded(file)[name], CODEC_CASES[file][name]
    assert case.encoded() == text
    assert case.reencoded(text) == text
    assert case.decoded(text) == case.sample


@pytest.mark.parametrize("file", [*CODEC_CASES, *VALUE_RECORDERS])
def test_every_sample_is_recorded(file: str) -> None:
    names = list(CODEC_CASES[file]) if file in CODEC_CASES else list(VALUE_RECORDERS[file]())
    assert list(recorded(file)) == names


@pytest.fixture(scope="module")
def values() -> dict[str, dict[str, object]]:
    return {file: recorder() for file, recorder in VALUE_RECORDERS.items()}


@pytest.mark.parametrize(("file", "name"), VALUE_NAMES)
def test_value_equals_the_recorded_one(
    file: str, name: str, values: dict[str, dict[str, object]]
) -> None:
    assert as_text(values[file][name]) == as_text(recorded(file)[name])
