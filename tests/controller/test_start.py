"""What a start costs decides how many leases run out when all controllers are down."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


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
import spoolcourse.control.controller
import urllib.request, sys
print(len(made), hasattr(urllib.request, "HTTPSHandler"), sys.modules["ssl"] is ssl)
"""
    assert run(code) == "0 True True"


def test_what_only_operators_or_users_need_is_not_loaded() -> None:
    code = """
import sys
import spoolcourse.control.controller
unwanted = {"prometheus_client", "certifi", "opentelemetry"}
print(sorted({m.split(".")[0] for m in sys.modules} & unwanted))
"""
    assert run(code) == "[]"


def test_reads_are_small_enough_to_need_no_mapping_of_memory() -> None:
    # Measured: with asyncio's 256 KiB, three more calls into the kernel for every heartbeat.
    code = """
import asyncio
from spoolcourse.control.http_client import Response
from spoolcourse.control.http_server import listen
def handler(request):
    return Response(200, {})
async def main():
    server = await listen(("127.0.0.1", 0), handler)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    writer.write(b"GET / HTTP/1.1\\r\\nHost: x\\r\\n\\r\\n")
    assert (await reader.readline()).startswith(b"HTTP/1.1 200")
    print(writer.transport.max_size)
asyncio.run(main())
"""
    assert 1024 <= int(run(code)) < 128 * 1024
