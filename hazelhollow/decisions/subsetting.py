"""Which hosts a gateway of a large fleet uses.

No I/O, no chance: it follows from the list and the gateway's number.

A host must see a gateway again soon, or each request opens a connection of its own and no gateway
learns what a host is like. The hosts are put in the order of their tags, and each gateway takes a
stretch of that circle. The stretches begin at multiples of the golden ratio, which spreads any
number of gateways evenly, neighbours in number far apart. A host that comes or goes moves each
stretch by one place at most.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

T = TypeVar("T")
LEAST = 12  # hosts that a gateway uses: enough to choose from, and few enough to be seen often
SEEN_BY = 4  # gateways that use a host at least, or hosts beyond all stretches would stand idle
GOLDEN = (5**0.5 - 1) / 2


def stretch(hosts: Sequence[T], number: int, gateways: int) -> list[T]:
    """Those that gateway `number` of so many uses of the hosts.

    Which stand in an order that all gateways share.
    """
    size = max(LEAST, -(-SEEN_BY * len(hosts) // gateways))
    if len(hosts) <= size:
        return list(hosts)
    start = int(number * GOLDEN % 1.0 * len(hosts))
    return [hosts[(start + i) % len(hosts)] for i in range(size)]
