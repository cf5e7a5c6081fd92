"""Maps names to the dense indices (0, 1, 2, ...) that snapshots use instead of names."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field


class NameIndex:
    """Assigns dense indices to names, in the order in which the names are first seen."""

    def __init__(self, names: Iterable[str] = ()) -> None:
        self.names: list[str] = []  # by index
        self._indices: dict[str, int] = {}
        for name in names:
            self.index_of(name)

    def index_of(self, name: str) -> int:
        """Return the index of a name; a new name gets the next index."""
        index = self._indices.get(name)
        if index is None:
            index = self._indices[name] = len(self.names)
            self.names.append(name)
        return index

    def __len__(self) -> int:
        """Return the number of names."""
        return len(self.names)


@dataclass(frozen=True, slots=True)
class SnapshotIndices:
    """The indices used by all snapshots of a leader. They stay the same between passes."""

    teams: NameIndex
    zones: NameIndex
    machine_types: NameIndex = field(default_factory=NameIndex)
    images: NameIndex = field(default_factory=NameIndex)
