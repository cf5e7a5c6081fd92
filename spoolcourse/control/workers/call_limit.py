"""How many calls to machines may be under way at once."""

from __future__ import annotations

MACHINES_PER_CALL = 8
SOCKETS_SHARE = 0.2  # of a controller's, for calls to machines


def concurrent_call_limit(least: int, machines: int, sockets: int) -> int:
    """The bound for a fleet of that size; `sockets` of the controller, 0 if not known.

    Calls to machines behind a cut hang until they time out. With a fixed bound, those to a third
    of a large fleet kept the calls to the rest waiting for many seconds.
    """
    wanted = max(least, machines // MACHINES_PER_CALL)
    if sockets:
        wanted = min(wanted, int(sockets * SOCKETS_SHARE))
    return max(least, wanted)
