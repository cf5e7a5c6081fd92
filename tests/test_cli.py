"""The command line: each error is reported in one line."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from spoolcourse import __version__
from spoolcourse.cli import main
from tests.fakes.world import settings


def write_settings(path: Path, change: Any = None) -> str:
    data = json.loads(msgspec.json.encode(settings()))
    if change:
        change(data)
    path.write_text(json.dumps(data))
    return str(path)


def test_check_accepts_good_settings_and_ignores_unknown_fields(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write_settings(tmp_path / "s.json", lambda d: d.update(novelty={"x": 1}))
    assert main(["check", "--config", path]) == 0
    assert "ok" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("change", "field_name"),
    [
        (lambda d: d.pop("listen"), "listen"),
        (lambda d: d["settings"]["workers"].pop("lease_s"), "lease_s"),
        (lambda d: d["settings"]["state"].update(rps="many"), "rps"),
        (lambda d: d["settings"]["cloud"].update(rps=-1), "rps"),
        (lambda d: d["outside"].update(state="nowhere"), "outside.state"),
        (lambda d: d["seeds"][0].update(label="n0"), "seeds"),
    ],
)
@pytest.mark.parametrize("command", ["check", "serve"])
def test_an_invalid_field_fails_the_start_with_one_line_naming_it(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    change: Any,
    field_name: str,
    command: str,
) -> None:
    path = write_settings(tmp_path / "s.json", change)
    assert main([command, "--config", path]) == 1
    error = capsys.readouterr().err
    assert field_name in error
    assert error.count("\n") == 1


def test_unreadable_files_bad_addresses_and_bad_ids_are_reported_in_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    broken = tmp_path / "x.json"
    broken.write_text("{")
    for argv in (
        ["check", "--config", str(tmp_path / "none.json")],
        ["check", "--config", str(broken)],
        ["status", "--node", "here", "job-000001"],
        ["cancel", "--node", "127.0.0.1:1", "job 1"],
        ["submit", "--node", "127.0.0.1:1", str(tmp_path / "none.json")],
        ["status", "--node", "127.0.0.1:1", "job-000001"],
    ):
        assert main(argv) == 1
        error = capsys.readouterr().err
        assert error.startswith("spoolcourse: ")
        assert error.count("\n") == 1


def test_the_version_is_printed(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as exit_info:
        main(["--version"])
    assert exit_info.value.code == 0
    assert __version__ in capsys.readouterr().out


def test_a_wrong_command_line_is_refused_with_a_reason(
    capsys: pytest.CaptureFixture[str],
) -> None:
    for argv in ([], ["status", "--node", "a:1", "--timeout", "-1", "job-000001"], ["fly"]):
        with pytest.raises(SystemExit) as exit_info:
            main(argv)
        assert exit_info.value.code == 2
        assert "error: " in capsys.readouterr().err
