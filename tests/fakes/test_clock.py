"""Coroutine tests run on the fake clock, and fail when an assertion in them fails."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

TEST_MODULE = """
import asyncio
import pytest

@pytest.mark.parametrize("hours", [1, 100])
async def test_passes(hours):
    began = asyncio.get_running_loop().time()
    await asyncio.sleep(hours * 3600)
    assert asyncio.get_running_loop().time() - began == hours * 3600

async def test_fails():
    await asyncio.sleep(3600)
    assert 1 == 2
"""


def test_a_coroutine_test_runs_in_simulated_time_and_fails_with_its_assertion(
    tmp_path: Path,
) -> None:
    test_file = tmp_path / "test_sample.py"
    test_file.write_text(TEST_MODULE)
    options = ["-q", "-p", "no:cacheprovider", "-p", "tests.conftest", f"--rootdir={tmp_path}"]
    run = subprocess.run(
        [sys.executable, "-m", "pytest", *options, str(test_file)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert run.returncode == 1, run.stdout
    assert "1 failed, 2 passed" in run.stdout
    assert "assert 1 == 2" in run.stdout
