"""Which endpoint an address belongs to. Pure.

A name, an address and a process are not the same: a receiver that has died stays listed for some time, and
another one, perhaps of another destination, may already have come up at its address. The rules:

- An address belongs to the endpoint that was named there last. Only this endpoint may be called there.
- An endpoint is named at an address when a list has it there and it was not listed there before, or when its
  process has started anew since. An entry that merely repeats or drains an endpoint names nothing.
- Of several endpoints that one list names at one address, the one that started last owns it; then one that is
  ready; then the last entry.
- An endpoint that is not ready takes no address from another one.
- An endpoint that has lost its address counts as gone until it is named anew. If the owner of an address
  goes, the address has no owner until the next naming there.

Each method costs as much as its list is long.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

Address = tuple[str, int]  # host and port


@dataclass(frozen=True, slots=True)
class AddressEntry:
    """The entry of one endpoint in a list.

    Attributes:
        endpoint: Id of the endpoint.
        address: Its address.
        started_ms: When its process started, Unix time in milliseconds; 0 for long ago.
        is_ready: It accepts calls.
        is_gone: It is no longer listed.
    """

    endpoint: str
    address: Address
    started_ms: int = 0
    is_ready: bool = True
    is_gone: bool = False


class AddressOwners:
    """The owner of each address, and the listed endpoints.

    Attributes:
        dials: Addresses of the endpoints that own theirs, by endpoint id.
        listed: The latest entry of each listed endpoint, by id, also of those that own no address.
    """

    def __init__(self) -> None:
        """Creates an empty list."""
        self.dials: dict[str, Address] = {}
        self.listed: dict[str, AddressEntry] = {}
        self._owners: dict[Address, str] = {}

    def replace(self, entries: Iterable[AddressEntry]) -> None:
        """Applies a complete list: endpoints that are not in it are gone."""
        before, owners_before = self.listed, self._owners
        self.dials.clear()  # the same dictionary, which callers hold
        self.listed, self._owners = {}, {}
        by_address: dict[Address, list[AddressEntry]] = {}
        for entry in entries:
            if not entry.is_gone:
                self.listed[entry.endpoint] = entry
        for entry in self.listed.values():
            by_address.setdefault(entry.address, []).append(entry)
        for address, rivals in by_address.items():
            self._assign(address, _owner_of(rivals, before, owners_before.get(address)))

    def update(self, entries: Iterable[AddressEntry]) -> set[str]:
        """Applies the entries that have changed.

        Returns:
            Ids of the endpoints that have lost their address to another one.
        """
        named: dict[Address, list[AddressEntry]] = {}
        for entry in entries:
            if entry.is_gone:
                self._remove(entry.endpoint)
                continue
            if _is_named(entry, self.listed):
                self._release(entry.endpoint)
                named.setdefault(entry.address, []).append(entry)
            self.listed[entry.endpoint] = entry
        losers: set[str] = set()
        for address, candidates in named.items():
            owner = self._owners.get(address)
            newest = max(enumerate(candidates), key=_precedence)[1]
            losers |= {each.endpoint for each in candidates if each is not newest}
            if owner is None or newest.is_ready or not self.listed[owner].is_ready:
                losers |= {owner} if owner else set()
                self._release(owner)
                self._assign(address, newest.endpoint)
            else:
                losers.add(newest.endpoint)
        return {each for each in losers if each in self.listed and each not in self.dials}

    def owns_address(self, endpoint: str) -> bool:
        """Whether a listed endpoint may be called at its address."""
        return endpoint in self.dials

    def _assign(self, address: Address, endpoint: str) -> None:
        self._owners[address] = endpoint
        self.dials[endpoint] = address

    def _release(self, endpoint: str | None) -> None:
        """Takes an endpoint's address from it, if it owns one."""
        address = self.dials.pop(endpoint, None) if endpoint else None
        if address is not None:
            del self._owners[address]

    def _remove(self, endpoint: str) -> None:
        self._release(endpoint)
        self.listed.pop(endpoint, None)


def _is_named(entry: AddressEntry, listed: Mapping[str, AddressEntry]) -> bool:
    """Whether an entry names its endpoint anew at its address."""
    before = listed.get(entry.endpoint)
    return before is None or before.address != entry.address or entry.started_ms > before.started_ms


def _precedence(candidate: tuple[int, AddressEntry]) -> tuple[int, bool, int]:
    """Sort key of the endpoints that one list names at one address; the last one owns it."""
    position, entry = candidate
    return entry.started_ms, entry.is_ready, position


def _owner_of(rivals: list[AddressEntry], before: Mapping[str, AddressEntry], owner: str | None) -> str:
    """Returns the id of the endpoint that owns an address by a complete list.

    Args:
        rivals: The endpoints that the list has at the address.
        before: The endpoints listed before.
        owner: Id of the address's owner until now, if any.
    """
    named = [each for each in rivals if _is_named(each, before)]
    current = next((each for each in rivals if each.endpoint == owner and each not in named), None)
    if current and not (named and (any(each.is_ready for each in named) or not current.is_ready)):
        return current.endpoint
    return max(enumerate(named or rivals), key=_precedence)[1].endpoint
