"""The watch and the notices."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from peers import Platform, host, play, soon, tell

from elmglade import interface as face
from elmglade.interface import EndpointState, Listing
from elmglade.net import discovery as module
from elmglade.net.discovery import Discovery, Listed

OLD, NEW = "127.0.0.1:1", "127.0.0.1:2"


@asynccontextmanager
async def watching() -> AsyncIterator[tuple[Discovery, Platform, asyncio.Queue[face.EndpointsListed], Any]]:
    async with Platform() as platform:
        heard: asyncio.Queue[face.EndpointsListed] = asyncio.Queue()
        answered: asyncio.Queue[str] = asyncio.Queue()
        known = Listed({"seq": 41, "whole": True, "hosts": [host(OLD)]})
        discovery = Discovery(platform.address, known, heard.put_nowait, answered.put_nowait)
        tasks = [asyncio.create_task(discovery.watch()), asyncio.create_task(discovery.tell())]
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
        assert told.listing is Listing.CHANGES
        assert [each.state for each in told.endpoints] == [EndpointState.DRAINING, EndpointState.READY]
        assert told.endpoints[1] == face.Endpoint("s", 4, EndpointState.READY, "k", "y", 1.0)
        tell(watch, 44, host(NEW, health="gone"))
        await soon(heard.get())
        assert discovery.dials == {"s": ("127.0.0.1", 2)}
        tell(watch, 50, host(NEW), whole=True)
        assert (await soon(heard.get())).listing is Listing.FULL
        assert discovery.dials == {"r": ("127.0.0.1", 2)}
        watch.break_off()
        assert (await soon(heard.get())).listing is Listing.FAILED
        again = asyncio.create_task(discovery.watch())
        assert (await soon(platform.watches.get())).target.endswith("after=50")
        again.cancel()


@pytest.mark.parametrize("text", ["7\r\nnot so\n\r\n", "3\r\n{}\n\r\n", "0\r\n\r\n", "zzz\r\n"])
def test_a_watch_that_ends_or_cannot_be_read_is_reported(text: str) -> None:
    async def test(_: Path) -> None:
        async with watching() as (_discovery, platform, heard, _answered):
            (await soon(platform.watches.get())).write(text)
            assert (await soon(heard.get())).listing is Listing.FAILED

    play(test)(Path())


def test_a_silent_watch_is_dead_though_its_connection_stays(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(_: Path) -> None:
        async with watching() as (_discovery, platform, heard, _answered):
            watch = await soon(platform.watches.get())
            assert (await soon(heard.get())).listing is Listing.FAILED
            assert not watch.writer.is_closing()

    monkeypatch.setattr(module, "SILENCE", 0.05)
    play(test)(Path())


@play
async def test_notices_are_told_again_until_they_are_answered(_: Path) -> None:
    async with watching() as (discovery, platform, _heard, answered):
        discovery.notify("a", "failed")
        (await platform.next()).break_off()
        (await platform.next()).answer(503)
        request = await platform.next()
        assert answered.empty()
        discovery.notify("b", "returned", 1_500_000)
        request.answer(204)
        assert (request.target, await soon(answered.get())) == ("/v1/notices", "a")
        request = await platform.next()
        assert json.loads(request.body) == {"id": "b", "state": "returned", "after_ms": 1500}
        request.answer(204)
        assert await soon(answered.get()) == "b" and discovery.notices == {}


@play
async def test_a_hung_platform_gets_the_notice_on_a_new_connection(_: Path) -> None:
    async with watching() as (discovery, platform, _heard, answered):
        discovery.notify("a", "failed")
        silent = await platform.next()
        request = await platform.next()
        assert request.writer is not silent.writer and request.body == silent.body
        request.answer(204)
        assert await soon(answered.get()) == "a"


@play
async def test_one_notice_that_cannot_be_read_does_not_hold_up_the_others(_: Path) -> None:
    async with watching() as (discovery, platform, _heard, answered):
        discovery.notify("a", "failed")
        first = await platform.next()
        discovery.notify("b", "failed")
        discovery.notify("c", "failed")
        first.answer(204)
        (await platform.next()).answer(400)
        (await platform.next()).answer(400)
        (await platform.next()).answer(204)
        assert [await soon(answered.get()) for _ in "abc"] == ["a", "b", "c"]
