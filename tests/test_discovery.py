"""The client of the discovery service: watches of the endpoint list, and notices of completions."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from peers import Platform, host, list_line, run_async_test, send_watch_line, with_timeout

from message_sender.core.ports import Completion, CompletionState
from message_sender.http import discovery as module
from message_sender.http.discovery import Discovery
from message_sender.http.endpoint_list import EndpointList
from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.model import Endpoint, EndpointState, ListingKind

OLD, NEW = "127.0.0.1:1", "127.0.0.1:2"


@asynccontextmanager
async def watching() -> AsyncIterator[tuple[Discovery, Platform, asyncio.Queue[EndpointsUpdated], Any]]:
    async with Platform() as platform:
        updates: asyncio.Queue[EndpointsUpdated] = asyncio.Queue()
        acknowledged: asyncio.Queue[str] = asyncio.Queue()
        known = EndpointList({"seq": 41, "whole": True, "hosts": [host(OLD)]})
        discovery = Discovery(platform.address, known, updates.put_nowait, acknowledged.put_nowait)
        tasks = [asyncio.create_task(discovery.watch()), asyncio.create_task(discovery.run())]
        yield discovery, platform, updates, acknowledged
        for task in tasks:
            task.cancel()


@run_async_test
async def test_changes_and_full_lists_are_reported_and_the_next_watch_resumes_from_there(_: Path) -> None:
    async with watching() as (discovery, platform, updates, _acknowledged):
        watch = await with_timeout(platform.watches.get())
        assert watch.target == "/registry/instances?watch=1&after=41"
        watch.write("1\r\n\n\r\n")
        send_watch_line(watch, 43, host(OLD, health="draining"), host(NEW, name="s", site="y", block=4))
        update = await with_timeout(updates.get())
        assert update.listing is ListingKind.CHANGES
        assert [each.state for each in update.endpoints] == [EndpointState.DRAINING, EndpointState.READY]
        assert update.endpoints[1] == Endpoint("s", 4, EndpointState.READY, "k", "y", 1.0)
        send_watch_line(watch, 44, host(NEW, health="gone"))
        await with_timeout(updates.get())
        assert discovery.dials == {"s": ("127.0.0.1", 2)}
        send_watch_line(watch, 50, host(NEW), whole=True)
        assert (await with_timeout(updates.get())).listing is ListingKind.FULL
        assert discovery.dials == {"r": ("127.0.0.1", 2)}
        watch.abort()
        assert (await with_timeout(updates.get())).listing is ListingKind.FAILED
        next_watch = asyncio.create_task(discovery.watch())
        assert (await with_timeout(platform.watches.get())).target.endswith("after=50")
        next_watch.cancel()


@pytest.mark.parametrize("text", ["7\r\nnot so\n\r\n", "3\r\n{}\n\r\n", "0\r\n\r\n", "zzz\r\n"])
def test_a_watch_that_ends_or_is_malformed_is_reported_as_failed(text: str) -> None:
    async def test(_: Path) -> None:
        async with watching() as (_discovery, platform, updates, _acknowledged):
            (await with_timeout(platform.watches.get())).write(text)
            assert (await with_timeout(updates.get())).listing is ListingKind.FAILED

    run_async_test(test)(Path())


def test_a_silent_watch_fails_while_its_connection_is_open(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(_: Path) -> None:
        async with watching() as (_discovery, platform, updates, _acknowledged):
            watch = await with_timeout(platform.watches.get())
            assert (await with_timeout(updates.get())).listing is ListingKind.FAILED
            assert not watch.writer.is_closing()

    monkeypatch.setattr(module, "SILENCE_TIMEOUT_S", 0.05)
    run_async_test(test)(Path())


def test_a_watch_that_ended_after_a_silence_is_told_from_one_that_broke(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test(_: Path) -> None:
        async with watching() as (discovery, platform, updates, _acknowledged):
            silences: asyncio.Queue[int] = asyncio.Queue()
            discovery.on_silence = silences.put_nowait
            (await with_timeout(platform.watches.get())).abort()
            assert (await with_timeout(updates.get())).listing is ListingKind.FAILED and silences.empty()
            next_watch = asyncio.create_task(discovery.watch())
            assert await with_timeout(silences.get()) >= 50_000
            await next_watch
            assert silences.empty()

    monkeypatch.setattr(module, "SILENCE_TIMEOUT_S", 0.05)
    run_async_test(test)(Path())


@run_async_test
async def test_notices_are_posted_again_until_they_are_acknowledged(_: Path) -> None:
    async with watching() as (discovery, platform, _updates, acknowledged):
        discovery.notify("a", Completion(CompletionState.FAILED))
        (await platform.next()).abort()
        (await platform.next()).answer(503)
        request = await platform.next()
        assert acknowledged.empty()
        discovery.notify("b", Completion(CompletionState.REFUSED, 1_500_000))
        request.answer(204)
        assert (request.target, await with_timeout(acknowledged.get())) == ("/v1/notices", "a")
        request = await platform.next()
        assert json.loads(request.body) == {"id": "b", "state": "returned", "after_ms": 1500}
        request.answer(204)
        assert await with_timeout(acknowledged.get()) == "b" and discovery.notices == {}


@run_async_test
async def test_a_hung_platform_gets_the_notice_on_a_new_connection(_: Path) -> None:
    async with watching() as (discovery, platform, _updates, acknowledged):
        discovery.notify("a", Completion(CompletionState.FAILED))
        silent = await platform.next()
        request = await platform.next()
        assert request.writer is not silent.writer and request.body == silent.body
        request.answer(204)
        assert await with_timeout(acknowledged.get()) == "a"


@pytest.mark.parametrize("status", [204, 400, 503])
def test_a_second_copy_of_an_answer_does_not_acknowledge_the_next_notices(status: int) -> None:
    """In place of the next answer, a copied 204 or 400 ended a notice that the platform had not recorded."""

    async def test(_: Path) -> None:
        async with watching() as (discovery, platform, _updates, acknowledged):
            discovery.notify("a", Completion(CompletionState.FAILED))
            first = await platform.next()
            first.answer(204)
            assert await with_timeout(acknowledged.get()) == "a"
            discovery.notify("b", Completion(CompletionState.FAILED))
            second = await platform.next()
            first.answer(status)
            second.abort()
            third = await platform.next()
            assert acknowledged.empty() and json.loads(third.body)["id"] == "b"
            third.answer(204)
            assert await with_timeout(acknowledged.get()) == "b"

    run_async_test(test)(Path())


@run_async_test
async def test_a_notice_rejected_as_unreadable_does_not_delay_the_others(_: Path) -> None:
    async with watching() as (discovery, platform, _updates, acknowledged):
        discovery.notify("a", Completion(CompletionState.FAILED))
        first = await platform.next()
        discovery.notify("b", Completion(CompletionState.FAILED))
        discovery.notify("c", Completion(CompletionState.FAILED))
        first.answer(204)
        (await platform.next()).answer(400)
        (await platform.next()).answer(400)
        (await platform.next()).answer(204)
        assert [await with_timeout(acknowledged.get()) for _ in "abc"] == ["a", "b", "c"]


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
def test_a_malformed_line_is_not_applied_in_part_and_its_version_is_not_taken(bad: dict[str, Any]) -> None:
    """Guards against applying part of a change, and against losing one whose version was taken too early."""

    async def test(_: Path) -> None:
        async with watching() as (discovery, platform, updates, _acknowledged):
            watch = await with_timeout(platform.watches.get())
            send_watch_line(watch, 42, host(NEW, "new"), host(OLD) | bad)
            assert (await with_timeout(updates.get())).listing is ListingKind.FAILED
            assert (discovery.version, discovery.dials) == (41, {"r": ("127.0.0.1", 1)})

    run_async_test(test)(Path())


@run_async_test
async def test_an_unknown_host_that_is_gone_does_not_affect_the_rest_of_its_line(_: Path) -> None:
    async with watching() as (discovery, platform, updates, _acknowledged):
        watch = await with_timeout(platform.watches.get())
        send_watch_line(watch, 42, host(OLD, "never seen", health="gone"), host(NEW, "new"))
        assert (await with_timeout(updates.get())).listing is ListingKind.CHANGES
        assert discovery.version == 42 and list(discovery.dials) == ["r", "new"]


@run_async_test
async def test_destinations_that_were_once_listed_remain_known(_: Path) -> None:
    async with watching() as (discovery, platform, updates, _acknowledged):
        send_watch_line(await with_timeout(platform.watches.get()), 42, host(NEW, "new", block=8), whole=True)
        await with_timeout(updates.get())
        assert discovery.destinations == {3, 8}


@run_async_test
async def test_a_watch_moves_to_a_new_address_without_a_gap(_: Path) -> None:
    """Versions of another service do not apply to the new one, whose full list is requested. Lines of the old
    address count until that list has been received, and not afterwards."""
    async with watching() as (discovery, old, updates, _acknowledged), Platform() as new:
        watch = await with_timeout(old.watches.get())
        discovery.move(new.address)
        moved = asyncio.create_task(discovery.watch())
        (await new.next()).answer(503)
        list_request = await new.next()
        assert (list_request.method, list_request.target) == ("GET", "/registry/instances")
        send_watch_line(watch, 99, host(OLD, health="draining"))
        assert (await with_timeout(updates.get())).endpoints[0].state is EndpointState.DRAINING
        list_request.answer(200, body=list_line(7, host(NEW, "new"), whole=True))
        update = await with_timeout(updates.get())
        assert (update.listing, [each.id for each in update.endpoints]) == (ListingKind.FULL, ["new"])
        assert (await with_timeout(new.watches.get())).target.endswith("after=7")
        send_watch_line(watch, 100, host(OLD))
        # The old watch ends without a FAILED update, and its last line is ignored.
        await with_timeout(old.ends.get())
        assert updates.empty() and discovery.version == 7 and list(discovery.dials) == ["new"]
        moved.cancel()


@run_async_test
async def test_a_notice_in_flight_is_posted_again_to_the_new_address(_: Path) -> None:
    async with watching() as (discovery, old, _updates, acknowledged), Platform() as new:
        discovery.notify("a", Completion(CompletionState.FAILED))
        first = await old.next()
        discovery.move(new.address)
        first.abort()
        second = await new.next()
        assert second.body == first.body
        second.answer(204)
        assert await with_timeout(acknowledged.get()) == "a"


@run_async_test
async def test_notices_use_the_new_address_even_with_an_open_connection_to_the_old_one(_: Path) -> None:
    async with watching() as (discovery, old, _updates, acknowledged), Platform() as new:
        discovery.notify("a", Completion(CompletionState.FAILED))
        (await old.next()).answer(204)
        await with_timeout(acknowledged.get())
        discovery.move(new.address)
        discovery.notify("b", Completion(CompletionState.FAILED))
        (await new.next()).answer(204)
        assert await with_timeout(acknowledged.get()) == "b" and old.requests.empty()
