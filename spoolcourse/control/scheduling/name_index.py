"""Names as dense numbers, as the placement model knows them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field


class NameIndex:
    """Numbers names in the order in which they are first seen."""

    def __init__(self, names: Iterable[str] = ()) -> None:
        self.names: list[str] = []  # by number
        self._numbers: dict[str, int] = {}
        for name in names:
            self.number_of(name)

    def number_of(self, name: str) -> int:
        """The number of a name; a new name gets the next one."""
        number = self._numbers.get(name)
        if number is None:
            number = self._numbers[name] = len(self.names)
            self.names.append(name)
        return number

    def __len__(self) -> int:
        """How many names there are."""
        return len(self.names)


@dataclass(frozen=True, slots=True)
class SnapshotIndices:
    """The numbers that snapshots of one leader use. They stay the same from pass to pass."""

    teams: NameIndex
    zones: NameIndex
    machine_types: NameIndex = field(default_factory=NameIndex)
    images: NameIndex = field(default_factory=NameIndex)
