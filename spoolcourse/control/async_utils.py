"""asyncio helpers shared by several layers."""

from __future__ import annotations

import asyncio


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> bool:
    """Wait up to `timeout_s` for the event; returns whether it was set in time."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
