"""The operators' file that turns the warm standby on: TOML with one table, `[standby]`."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated

import msgspec

from spoolcourse.errors import UserError


class StandbySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What followers keep ready for a failover; what is left out keeps its default."""

    enabled: bool = False
    # A follower that is not caught up lets others stand for election first, for so long.
    defer_s: Annotated[float, msgspec.Meta(ge=0, le=5)] = 0.5
    # A follower that has heard nothing of the key-value store for so long is not caught up.
    behind_s: Annotated[float, msgspec.Meta(ge=2.5, le=60)] = 5.0
    # Compare the shadow with a restore from the records at each failover.
    verify: bool = False
    # Followers ask the leader for hints so often; 0: never.
    hint_period_s: Annotated[float, msgspec.Meta(ge=0, le=60)] = 1.0
    # Machines in one answer.
    hint_machines: Annotated[int, msgspec.Meta(ge=1, le=500)] = 200
    # Write a trace of each failover, as OpenTelemetry spans in JSON, to standard error.
    trace: bool = False


class _File(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    standby: StandbySettings


OFF = StandbySettings()


def parse_standby(text: str, source: str) -> StandbySettings:
    """Check the settings; the error names the key that is unknown, wrong or out of range."""
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise UserError(f"{source}: not TOML: {exc}") from exc
    try:
        return msgspec.convert(data, _File).standby
    except msgspec.ValidationError as exc:
        raise UserError(f"{source}: {exc}") from exc


def load_standby(path: str | None) -> StandbySettings:
    """Read and check the file; without one the standby is off."""
    if path is None:
        return OFF
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise UserError(f"{path}: cannot be read: {exc}") from exc
    return parse_standby(text, path)
