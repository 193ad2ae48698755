"""What has come from one sender: against replay and doubling. No I/O, no clock."""

from __future__ import annotations

WINDOW = 64  # serials behind the newest that may still come


class ReplayWindow:
    """The serials that have come from one incarnation of a sender."""

    __slots__ = ("incarnation", "highest", "mask", "hinted")

    def __init__(self, incarnation: int) -> None:
        self.incarnation, self.highest, self.mask = incarnation, -1, 0
        self.hinted = -1e9  # when the sender was last told that another has its number

    def fresh(self, serial: int) -> bool:
        """Whether this serial has not come before; far behind the newest counts as if it had."""
        if serial > self.highest:
            self.mask = ((self.mask << min(serial - self.highest, WINDOW)) | 1) & (
                (1 << WINDOW) - 1
            )
            self.highest = serial
            return True
        behind = self.highest - serial
        if behind >= WINDOW or self.mask >> behind & 1:
            return False
        self.mask |= 1 << behind
        return True
