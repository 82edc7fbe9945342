"""The watch and the notices."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from peers import Platform, host, list_line, play, soon, tell

from message_sender.core.ports import Completion, CompletionState
from message_sender.http import discovery as module
from message_sender.http.discovery import Discovery, EndpointList
from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.model import Endpoint, EndpointState, ListingKind

OLD, NEW = "127.0.0.1:1", "127.0.0.1:2"


@asynccontextmanager
async def watching() -> AsyncIterator[tuple[Discovery, Platform, asyncio.Queue[EndpointsUpdated], Any]]:
    async with Platform() as platform:
        heard: asyncio.Queue[EndpointsUpdated] = asyncio.Queue()
        answered: asyncio.Queue[str] = asyncio.Queue()
        known = EndpointList({"seq": 41, "whole": True, "hosts": [host(OLD)]})
        discovery = Discovery(platform.address, known, heard.put_nowait, answered.put_nowait)
        tasks = [asyncio.create_task(discovery.watch()), asyncio.create_task(discovery.run())]
        yield discovery, platform, heard, answered
        for task in tasks:
            task.cancel()


@play
async def test_changes_and_whole_lists_are_told_and_the_next_watch_goes_on_from_there(_: Path) -> None:
    async with watching() as (discovery, platform, heard, _answered):
        watch = await soon(platform.watches.get())
        assert watch.target == "/registry/instances?watch=1&after=41"
        watch.write("1\r\n\n\r\n")
        tell(watch, 43, host(OLD, health="draining"), host(NEW, name="s", site="y", block=4))
        told = await soon(heard.get())
        assert told.listing is ListingKind.CHANGES
        assert [each.state for each in told.endpoints] == [EndpointState.DRAINING, EndpointState.READY]
        assert told.endpoints[1] == Endpoint("s", 4, EndpointState.READY, "k", "y", 1.0)
        tell(watch, 44, host(NEW, health="gone"))
        await soon(heard.get())
        assert discovery.dials == {"s": ("127.0.0.1", 2)}
        tell(watch, 50, host(NEW), whole=True)
        assert (await soon(heard.get())).listing is ListingKind.FULL
        assert discovery.dials == {"r": ("127.0.0.1", 2)}
        watch.break_off()
        assert (await soon(heard.get())).listing is ListingKind.FAILED
        again = asyncio.create_task(discovery.watch())
        assert (await soon(platform.watches.get())).target.endswith("after=50")
        again.cancel()


@pytest.mark.parametrize("text", ["7\r\nnot so\n\r\n", "3\r\n{}\n\r\n", "0\r\n\r\n", "zzz\r\n"])
def test_a_watch_that_ends_or_cannot_be_read_is_reported(text: str) -> None:
    async def test(_: Path) -> None:
        async with watching() as (_discovery, platform, heard, _answered):
            (await soon(platform.watches.get())).write(text)
            assert (await soon(heard.get())).listing is ListingKind.FAILED

    play(test)(Path())


def test_a_silent_watch_is_dead_though_its_connection_stays(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(_: Path) -> None:
        async with watching() as (_discovery, platform, heard, _answered):
            watch = await soon(platform.watches.get())
            assert (await soon(heard.get())).listing is ListingKind.FAILED
            assert not watch.writer.is_closing()

    monkeypatch.setattr(module, "SILENCE_TIMEOUT_S", 0.05)
    play(test)(Path())


@play
async def test_notices_are_told_again_until_they_are_answered(_: Path) -> None:
    async with watching() as (discovery, platform, _heard, answered):
        discovery.notify("a", Completion(CompletionState.FAILED))
        (await platform.next()).break_off()
        (await platform.next()).answer(503)
        request = await platform.next()
        assert answered.empty()
        discovery.notify("b", Completion(CompletionState.REFUSED, 1_500_000))
        request.answer(204)
        assert (request.target, await soon(answered.get())) == ("/v1/notices", "a")
        request = await platform.next()
        assert json.loads(request.body) == {"id": "b", "state": "returned", "after_ms": 1500}
        request.answer(204)
        assert await soon(answered.get()) == "b" and discovery.notices == {}


@play
async def test_a_hung_platform_gets_the_notice_on_a_new_connection(_: Path) -> None:
    async with watching() as (discovery, platform, _heard, answered):
        discovery.notify("a", Completion(CompletionState.FAILED))
        silent = await platform.next()
        request = await platform.next()
        assert request.writer is not silent.writer and request.body == silent.body
        request.answer(204)
        assert await soon(answered.get()) == "a"


@play
async def test_one_notice_that_cannot_be_read_does_not_hold_up_the_others(_: Path) -> None:
    async with watching() as (discovery, platform, _heard, answered):
        discovery.notify("a", Completion(CompletionState.FAILED))
        first = await platform.next()
        discovery.notify("b", Completion(CompletionState.FAILED))
        discovery.notify("c", Completion(CompletionState.FAILED))
        first.answer(204)
        (await platform.next()).answer(400)
        (await platform.next()).answer(400)
        (await platform.next()).answer(204)
        assert [await soon(answered.get()) for _ in "abc"] == ["a", "b", "c"]


@pytest.mark.parametrize(
    "bad",
    [
        {"health": "unwell"},
        {"dial": "127.0.0.1:port"},
        {"dial": "127.0.0.1:²"},
        {"block": "x"},
        {"block": float("inf")},
        {"host": []},
    ],
)
def test_a_line_is_applied_whole_or_not_at_all_and_asked_for_again(bad: dict[str, Any]) -> None:
    """Guards against a change half believed, or lost as its version was taken before it was read."""

    async def test(_: Path) -> None:
        async with watching() as (discovery, platform, heard, _answered):
            watch = await soon(platform.watches.get())
            tell(watch, 42, host(NEW, "new"), host(OLD) | bad)
            assert (await soon(heard.get())).listing is ListingKind.FAILED
            assert (discovery.version, discovery.dials) == (41, {"r": ("127.0.0.1", 1)})

    play(test)(Path())


@play
async def test_an_unknown_host_that_is_gone_costs_nothing_of_its_line(_: Path) -> None:
    async with watching() as (discovery, platform, heard, _answered):
        watch = await soon(platform.watches.get())
        tell(watch, 42, host(OLD, "never seen", health="gone"), host(NEW, "new"))
        assert (await soon(heard.get())).listing is ListingKind.CHANGES
        assert discovery.version == 42 and list(discovery.dials) == ["r", "new"]


@play
async def test_destinations_once_named_stay_named(_: Path) -> None:
    async with watching() as (discovery, platform, heard, _answered):
        tell(await soon(platform.watches.get()), 42, host(NEW, "new", block=8), whole=True)
        await soon(heard.get())
        assert discovery.destinations == {3, 8}


@play
async def test_a_watch_moves_to_a_new_address_without_a_gap(_: Path) -> None:
    """The versions of another service mean nothing to this one: its whole list is asked for. Until that has
    come, the old address is heard; then it is not."""
    async with watching() as (discovery, old, heard, _answered), Platform() as new:
        watch = await soon(old.watches.get())
        discovery.move(new.address)
        moved = asyncio.create_task(discovery.watch())
        (await new.next()).answer(503)
        asked = await new.next()
        assert (asked.method, asked.target) == ("GET", "/registry/instances")
        tell(watch, 99, host(OLD, health="draining"))
        assert (await soon(heard.get())).endpoints[0].state is EndpointState.DRAINING
        asked.answer(200, body=list_line(7, host(NEW, "new"), whole=True))
        told = await soon(heard.get())
        assert (told.listing, [each.id for each in told.endpoints]) == (ListingKind.FULL, ["new"])
        assert (await soon(new.watches.get())).target.endswith("after=7")
        tell(watch, 100, host(OLD))
        await soon(old.ends.get())  # the old watch ends without a word, and what it told last is not heard
        assert heard.empty() and discovery.version == 7 and list(discovery.dials) == ["new"]
        moved.cancel()


@play
async def test_a_notice_under_way_is_told_again_at_the_new_address(_: Path) -> None:
    async with watching() as (discovery, old, _heard, answered), Platform() as new:
        discovery.notify("a", Completion(CompletionState.FAILED))
        first = await old.next()
        discovery.move(new.address)
        first.break_off()
        again = await new.next()
        assert again.body == first.body
        again.answer(204)
        assert await soon(answered.get()) == "a"


@play
async def test_a_kept_connection_for_notices_moves_too(_: Path) -> None:
    async with watching() as (discovery, old, _heard, answered), Platform() as new:
        discovery.notify("a", Completion(CompletionState.FAILED))
        (await old.next()).answer(204)
        await soon(answered.get())
        discovery.move(new.address)
        discovery.notify("b", Completion(CompletionState.FAILED))
        (await new.next()).answer(204)
        assert await soon(answered.get()) == "b" and old.requests.empty()
