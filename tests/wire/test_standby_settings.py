"""The settings file of the warm standby is validated before the controller starts."""

from __future__ import annotations

from pathlib import Path

import pytest

from spoolcourse.errors import UserError
from spoolcourse.wire.standby_settings import STANDBY_OFF, load_standby, parse_standby

DEPLOYED_FILE = Path(__file__).resolve().parents[2] / "deploy" / "standby.toml"


def test_the_deployed_file_enables_the_standby_and_the_default_is_off() -> None:
    assert load_standby(str(DEPLOYED_FILE)).enabled
    assert load_standby(None) is STANDBY_OFF
    assert not parse_standby("[standby]\n", "f").enabled


@pytest.mark.parametrize(
    ("text", "reasons"),
    [
        ("[standby]\nenable = true", ["enable", "unknown"]),
        ("[standby]\nenabled = 1", ["enabled", "bool"]),
        ("[standby]\ndefer_s = 5.5", ["defer_s", "<= 5"]),
        ("[standby]\nbehind_s = 1", ["behind_s", ">= 2.5"]),
        ("[standby]\nhint_machines = 0", ["hint_machines", ">= 1"]),
        ("[standby]\nhint_machines = 501", ["hint_machines", "<= 500"]),
        ("[standby]\nhint_period_s = -1", ["hint_period_s", ">= 0"]),
        ("[standby]\ndefer_s = nan", ["defer_s"]),
        ("[other]\n", ["unknown", "other"]),
        ("", ["standby", "missing"]),
        ("[standby", ["TOML"]),
    ],
)
def test_an_invalid_file_is_rejected_with_key_and_reason(text: str, reasons: list[str]) -> None:
    with pytest.raises(UserError) as rejected:
        parse_standby(text, "standby.toml")
    assert all(reason in str(rejected.value) for reason in ["standby.toml", *reasons])
