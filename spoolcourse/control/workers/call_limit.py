"""The limit on concurrent calls to the addresses of machines."""

from __future__ import annotations

MACHINES_PER_CONCURRENT_CALL = 8  # above the minimum, for one more call
CALL_SOCKET_FRACTION = 0.2  # of a controller's sockets, at most, for calls to machines


def concurrent_call_limit(minimum: int, machines: int, sockets: int) -> int:
    """Return how many calls to machines may be in progress at once; grows with the fleet.

    Calls to machines behind a network partition hang until they time out. With a fixed limit, the
    calls to a partitioned third of a large fleet delayed all others by many seconds.

    Args:
        minimum: Lower bound of the limit.
        machines: Number of machines.
        sockets: Number of sockets that the controller may open; 0 if unknown.
    """
    limit = max(minimum, machines // MACHINES_PER_CONCURRENT_CALL)
    if sockets:
        limit = min(limit, int(sockets * CALL_SOCKET_FRACTION))
    return max(minimum, limit)
