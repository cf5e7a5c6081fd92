"""What a start costs decides how many leases run out when all controllers are down."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def run(code: str) -> str:
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    return done.stdout.strip()


def test_no_certificates_are_read_and_nothing_else_is_left_without_ssl() -> None:
    code = """
import ssl
made = []
real = ssl.SSLContext.__new__
ssl.SSLContext.__new__ = lambda *a, **k: (made.append(a), real(*a, **k))[1]
import spoolcourse.control.service
import urllib.request, sys
print(len(made), hasattr(urllib.request, "HTTPSHandler"), sys.modules["ssl"] is ssl)
"""
    assert run(code) == "0 True True"


def test_what_only_operators_or_users_need_is_not_loaded() -> None:
    code = """
import sys
import spoolcourse.control.service
print(sorted({m.split(".")[0] for m in sys.modules} & {"prometheus_client", "certifi"}))
"""
    assert run(code) == "[]"
