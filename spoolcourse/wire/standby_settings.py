"""The settings file of the warm standby: TOML with one table, `[standby]`."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated

import msgspec

from spoolcourse.errors import UserError


class StandbySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The table `[standby]`; keys that are left out have the defaults below."""

    # Whether a follower keeps a shadow: a copy of the job queue from which it can start to lead.
    enabled: bool = False
    # Seconds for which a follower that is not caught up lets others stand for election first.
    defer_s: Annotated[float, msgspec.Meta(ge=0, le=5)] = 0.5
    # Seconds without a response of the key-value store after which a follower is not caught up.
    behind_s: Annotated[float, msgspec.Meta(ge=2.5, le=60)] = 5.0
    # Compare the shadow with a restore from the records at each failover.
    verify: bool = False
    # Seconds between a follower's requests for hints: what the leader knows of workers; 0: never.
    hint_period_s: Annotated[float, msgspec.Meta(ge=0, le=60)] = 1.0
    # Machines in one page of hints.
    hint_machines: Annotated[int, msgspec.Meta(ge=1, le=500)] = 200
    # Write a trace of each failover, as OpenTelemetry spans in JSON, to standard error.
    trace: bool = False


class _StandbyFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    standby: StandbySettings


STANDBY_OFF = StandbySettings()


def parse_standby(text: str, source: str) -> StandbySettings:
    """The checked settings; `source` is the file's name for errors.

    Raises `UserError`, naming the key that is unknown, wrong or out of range.
    """
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise UserError(f"{source}: not TOML: {exc}") from exc
    try:
        return msgspec.convert(data, _StandbyFile).standby
    except msgspec.ValidationError as exc:
        raise UserError(f"{source}: {exc}") from exc


def load_standby(path: str | None) -> StandbySettings:
    """The checked settings of a file; without a file the standby is off.

    Raises `UserError` if the file can't be read, or as `parse_standby` does.
    """
    if path is None:
        return STANDBY_OFF
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise UserError(f"{path}: cannot be read: {exc}") from exc
    return parse_standby(text, path)
