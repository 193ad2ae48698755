"""Which of several listed endpoints listens at an address that they share.

A list may name a server that is gone beside its successor at the same address. Only one process can
listen there: the one that started last or, where the list does not tell, the one listed last. No
I/O.
"""

from __future__ import annotations

from hazelhollow.decisions.interface import EndpointEntry


class AddressOccupants:
    """The listed endpoints by address.

    Attributes:
        superseded: The names of endpoints whose address has a later occupant.
    """

    def __init__(self) -> None:
        self._by_address: dict[str, dict[str, tuple[float, int]]] = {}
        self._address_of: dict[str, str] = {}
        self._listings = 0
        self.superseded = set[str]()

    def listed(self, entry: EndpointEntry) -> None:
        """Records an endpoint that is listed at `entry.address`."""
        previous = self._by_address.get(entry.address, {}).get(entry.name)
        self.unlisted(entry.name)
        self._listings += 1
        # A repeated entry does not become a later one than its successor.
        listing = previous[1] if previous else self._listings
        self._by_address.setdefault(entry.address, {})[entry.name] = (entry.started, listing)
        self._address_of[entry.name] = entry.address
        self._update(entry.address)

    def unlisted(self, name: str) -> None:
        """Records that an endpoint is not listed any more."""
        address = self._address_of.pop(name, None)
        if address is None:
            return
        names = self._by_address[address]
        del names[name]
        self.superseded.discard(name)
        if names:
            self._update(address)
        else:
            del self._by_address[address]

    def _update(self, address: str) -> None:
        names = self._by_address[address]
        if len(names) == 1:
            self.superseded.difference_update(names)
            return
        occupant = max(names, key=names.__getitem__)
        self.superseded.update(names)
        self.superseded.discard(occupant)
