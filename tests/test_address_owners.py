"""An address belongs to the endpoint that was named there last; no message goes to another's process."""

import asyncio
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from peers import Peer, Running, World, host, run_async_test, send_watch_line, with_timeout

from message_sender.discovery.address_owners import AddressEntry, AddressOwners
from message_sender.http import client as client_module
from message_sender.policy.model import EndpointState

A, B = ("127.0.0.1", 1), ("127.0.0.1", 2)
OTHER = 4  # a destination other than that of `host`
SETTLE_S = 0.15  # in which a message that can be sent is sent


def entry(name: str, address: tuple[str, int] = A, started_ms: int = 0, state: str = "ready") -> AddressEntry:
    return AddressEntry(name, address, started_ms, state == "ready", state == "gone")


def owners_of(*entries: AddressEntry) -> AddressOwners:
    owners = AddressOwners()
    owners.replace(entries)
    return owners


def test_the_endpoint_named_last_takes_the_address_and_a_repeated_entry_does_not_take_it_back() -> None:
    owners = owners_of(entry("old"))
    assert owners.update([entry("new")]) == {"old"} and owners.dials == {"new": A}
    for state in ("ready", "draining", "gone"):
        assert owners.update([entry("old", state=state)]) <= {"old"} and owners.dials == {"new": A}
    assert owners.update([entry("old")]) == {"new"} and owners.dials == {"old": A}


def test_an_endpoint_whose_process_started_anew_takes_its_address_back() -> None:
    owners = owners_of(entry("old", started_ms=5))
    owners.update([entry("new", started_ms=7)])
    assert owners.update([entry("old", started_ms=9)]) == {"new"} and owners.dials == {"old": A}


@pytest.mark.parametrize("is_old_first", [True, False])
def test_a_replacement_in_one_line_leaves_the_address_to_the_new_endpoint(is_old_first: bool) -> None:
    owners = owners_of(entry("old"))
    line = [entry("old", state="gone"), entry("new")]
    assert owners.update(line if is_old_first else line[::-1]) == set()
    assert owners.dials == {"new": A} and list(owners.listed) == ["new"]


def test_an_endpoint_that_drains_takes_no_address_from_one_that_is_ready() -> None:
    owners = owners_of(entry("old"))
    assert owners.update([entry("new", state="draining")]) == {"new"} and owners.dials == {"old": A}


def test_an_address_whose_owner_is_gone_does_not_return_to_an_earlier_owner() -> None:
    owners = owners_of(entry("old"))
    owners.update([entry("new")])
    assert owners.update([entry("new", state="gone")]) == set() and owners.dials == {}
    owners.replace([entry("old")])
    assert owners.dials == {"old": A}


def test_an_endpoint_that_moves_leaves_its_address() -> None:
    owners = owners_of(entry("a"), entry("b", B))
    assert owners.update([entry("a", B)]) == {"b"} and owners.dials == {"a": B}
    assert owners.update([entry("b", A)]) == set() and owners.dials == {"a": B, "b": A}


@pytest.mark.parametrize(
    ("entries", "owner"),
    [
        ([entry("a"), entry("b")], "b"),
        ([entry("a", started_ms=9), entry("b", started_ms=5)], "a"),
        ([entry("a"), entry("b", state="draining")], "a"),
    ],
)
def test_the_owner_in_a_first_list_that_names_two_endpoints_at_one_address(
    entries: list[AddressEntry], owner: str
) -> None:
    assert owners_of(*entries).dials == {owner: A}


def test_a_complete_list_in_another_order_keeps_the_owner() -> None:
    owners = owners_of(entry("old"))
    owners.update([entry("new")])
    owners.replace([entry("new"), entry("old")])
    assert owners.dials == {"new": A}


LINES = st.lists(
    st.tuples(
        st.booleans(),
        st.lists(
            st.builds(
                entry,
                st.sampled_from("abc"),
                st.sampled_from([A, B]),
                st.integers(0, 2),
                st.sampled_from(["ready", "draining", "gone"]),
            ),
            max_size=3,
            unique_by=lambda each: each.endpoint,
        ),
    ),
    max_size=8,
)


@given(LINES)
def test_each_address_has_at_most_one_owner_that_is_listed_there(
    lines: list[tuple[bool, list[AddressEntry]]],
) -> None:
    owners = AddressOwners()
    for is_complete, entries in lines:
        before = set(owners.dials)
        if is_complete:
            owners.replace(entries)
        else:
            losers = owners.update(entries)
            gone = {each.endpoint for each in entries if each.is_gone}
            assert before - set(owners.dials) <= losers | gone
            assert not losers & set(owners.dials)
        assert len(set(owners.dials.values())) == len(owners.dials)
        for endpoint, address in owners.dials.items():
            assert owners.listed[endpoint].address == address


# Real sockets: `r` of destination 3 has died, and another endpoint is at its address.


class Replaced(World):
    """A sender whose endpoint has died, with a process of another destination at its address."""

    async def __aenter__(self) -> "Replaced":
        await super().__aenter__()
        self.watch = await with_timeout(self.platform.watches.get())
        self.seq = 41
        return self

    def list(self, *hosts: dict[str, Any], whole: bool = False) -> None:
        self.seq += 1
        send_watch_line(self.watch, self.seq, *hosts, whole=whole)

    async def expect_no_call(self) -> None:
        await asyncio.sleep(SETTLE_S)
        assert self.receiver.requests.empty()

    async def wait_until_listed(self, name: str) -> None:
        while name not in self.sender.discovery.endpoints:
            await asyncio.sleep(0.005)


def play(folder: Path, scenario: Any, **settings: object) -> None:  # noqa: ANN401
    """Runs a scenario with a replaced endpoint."""

    @run_async_test
    async def test(state: Path) -> None:
        async with Replaced(state, **settings) as world:
            await scenario(world)

    test(folder)


@pytest.mark.parametrize("is_complete", [False, True])
def test_no_message_goes_to_a_new_endpoint_of_another_destination_at_an_old_address(
    is_complete: bool, tmp_path: Path
) -> None:
    async def scenario(world: Replaced) -> None:
        old, new = host(world.receiver.dial), host(world.receiver.dial, "n", block=OTHER)
        world.list(*([old, new] if is_complete else [new]), whole=is_complete)
        await world.wait_until_listed("n")
        await world.submit("for-3")
        await world.expect_no_call()
        await world.submit("for-4", X_Route_To=f"dest={OTHER}")
        assert (await world.receiver.next()).id == "for-4"
        world.list(host(world.receiver.dial, health="gone"))
        await world.expect_no_call()

    play(tmp_path, scenario)


def test_a_retry_does_not_go_to_a_new_endpoint_at_the_address_of_its_first_attempt(tmp_path: Path) -> None:
    async def scenario(world: Replaced) -> None:
        await world.submit("m")
        first = await world.receiver.next()
        world.list(host(world.receiver.dial, "n", block=OTHER))
        await world.wait_until_listed("n")
        first.abort()
        await world.expect_no_call()

    play(tmp_path, scenario)


def test_a_call_whose_connection_opens_while_its_address_gets_another_endpoint_is_not_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(world: Replaced) -> None:
        is_opening, may_open = asyncio.Event(), asyncio.Event()
        open_connection = client_module.ClientConnection.open

        async def open_later(address: tuple[str, int]) -> client_module.ClientConnection:
            if address == world.receiver.address:
                is_opening.set()
                await may_open.wait()
            return await open_connection(address)

        monkeypatch.setattr(client_module.ClientConnection, "open", open_later)
        await world.submit("m")
        await with_timeout(is_opening.wait())
        world.list(host(world.receiver.dial, "n", block=OTHER))
        await world.wait_until_listed("n")
        may_open.set()
        await world.expect_no_call()

    play(tmp_path, scenario)


@pytest.mark.parametrize("change", ["address", "destination"])
@pytest.mark.parametrize("is_read", [True, False])
def test_a_call_whose_endpoint_changes_while_its_connection_opens_is_not_sent(
    change: str, is_read: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """`is_read`: whether the loop has read the change before the connection is open."""

    async def scenario(world: Replaced) -> None:
        async with Peer() as elsewhere:
            is_opening, may_open = asyncio.Event(), asyncio.Event()
            open_connection = client_module.ClientConnection.open

            async def open_later(address: tuple[str, int]) -> client_module.ClientConnection:
                connection = await open_connection(address)
                if address == world.receiver.address and not may_open.is_set():
                    is_opening.set()
                    await may_open.wait()
                return connection

            monkeypatch.setattr(client_module.ClientConnection, "open", open_later)
            await world.submit("m")
            await with_timeout(is_opening.wait())
            if change == "address":
                world.list(host(elsewhere.dial))
            else:
                world.list(host(world.receiver.dial, block=OTHER))
            if is_read:
                await asyncio.sleep(0.05)
            may_open.set()
            await world.expect_no_call()
            if change == "address":
                assert (await elsewhere.next()).id == "m"

    play(tmp_path, scenario)


def test_a_kept_connection_of_a_dead_endpoint_carries_no_call_of_its_successor(tmp_path: Path) -> None:
    async def scenario(world: Replaced) -> None:
        await world.submit("first")
        (await world.receiver.next()).answer(200)
        await asyncio.sleep(0.4)  # the connection has rested
        world.list(host(world.receiver.dial, "n", block=OTHER))
        await with_timeout(world.receiver.ends.get())
        await world.submit("second", X_Route_To=f"dest={OTHER}")
        assert (await world.receiver.next()).id == "second" and world.receiver.accepted == 2

    play(tmp_path, scenario)


@pytest.mark.parametrize("is_new_first", [True, False])
def test_a_cached_list_with_two_endpoints_at_one_address_lets_only_the_last_started_be_called(
    is_new_first: bool, tmp_path: Path
) -> None:
    async def scenario(world: Replaced) -> None:
        world.sender.stop(0)
        await world.running.task
        hosts = [
            host(world.receiver.dial, "n", block=OTHER, born_ms=1_700_000_000_000),
            host(world.receiver.dial),
        ]
        known = {"seq": 50, "whole": True, "hosts": hosts if is_new_first else hosts[::-1]}
        async with Running(world.config | {"known": known}, tmp_path) as running:
            await running.submit("for-3")
            await world.expect_no_call()
            await running.submit("for-4", X_Route_To=f"dest={OTHER}")
            assert (await world.receiver.next()).id == "for-4"

    play(tmp_path, scenario)


def test_maintenance_shows_an_endpoint_without_an_address_as_no_longer_listed(tmp_path: Path) -> None:
    async def scenario(world: Replaced) -> None:
        world.list(host(world.receiver.dial, "n", block=OTHER))
        await world.wait_until_listed("n")
        assert set(world.sender.maintenance.listed) == {"d", "n"}
        assert world.sender.maintenance.listed["n"].state is EndpointState.READY

    play(tmp_path, scenario)
