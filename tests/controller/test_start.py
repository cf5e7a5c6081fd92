"""Start-up cost of a controller.

It decides how many worker leases expire when all controllers are down.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


def run_python(code: str) -> str:
    process = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    return process.stdout.strip()


def test_start_loads_no_certificates_and_leaves_ssl_usable() -> None:
    code = """
import ssl
contexts = []
original_new = ssl.SSLContext.__new__
ssl.SSLContext.__new__ = lambda *a, **k: (contexts.append(a), original_new(*a, **k))[1]
import spoolcourse.control.controller
import urllib.request, sys
print(len(contexts), hasattr(urllib.request, "HTTPSHandler"), sys.modules["ssl"] is ssl)
"""
    assert run_python(code) == "0 True True"


def test_start_does_not_import_packages_needed_only_for_operators_or_users() -> None:
    code = """
import sys
import spoolcourse.control.controller
unneeded = {"prometheus_client", "certifi", "opentelemetry"}
print(sorted({m.split(".")[0] for m in sys.modules} & unneeded))
"""
    assert run_python(code) == "[]"


def test_read_buffers_are_too_small_to_be_memory_mapped() -> None:
    # asyncio's default of 256 KiB costs three more system calls per heartbeat.
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
    assert 1024 <= int(run_python(code)) < 128 * 1024
