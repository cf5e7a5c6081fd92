"""Small helpers over asyncio that several layers share."""

from __future__ import annotations

import asyncio


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> bool:
    """Wait until the event is set, but at most so long; returns whether it is set in time."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
