"""How many calls to machines may be under way at once."""

from __future__ import annotations

MACHINES_PER_CALL = 8
CALL_SOCKETS_SHARE = 0.2  # of a controller's sockets, for calls to machines


def concurrent_call_limit(minimum: int, machines: int, sockets: int) -> int:
    """The limit for so many machines, at least `minimum`.

    Calls to machines behind a cut hang until they time out. With a fixed limit, those to a third
    of many machines kept the calls to the rest waiting for many seconds.

    Args:
        minimum: the limit for few machines.
        machines: how many machines there are.
        sockets: how many the controller may open; 0 if that is not known.
    """
    limit = max(minimum, machines // MACHINES_PER_CALL)
    if sockets:
        limit = min(limit, int(sockets * CALL_SOCKETS_SHARE))
    return max(minimum, limit)
