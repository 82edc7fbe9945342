"""A stall of this process is not taken for the silence of a peer that has answered in time."""

import asyncio
import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any
from unittest import mock

import pytest
from peers import World, run_async_test, with_timeout

from message_sender.core.peer_timeout import LATE_GRACE_S, PeerTimeout
from message_sender.core.ports import Completion, CompletionState
from message_sender.http.discovery import NOTICE_TIMEOUT_S, Discovery
from message_sender.http.endpoint_list import EndpointList
from message_sender.policy.breaker import Breaker

NO_CONTENT = b"HTTP/1.1 204 x\r\nContent-Length: 0\r\n\r\n"
STALL_S = 3 * NOTICE_TIMEOUT_S
CALLS = 5  # as many as one destination may have in flight


def run_test(test: Callable[[], Any]) -> None:
    run_async_test(lambda _: test())(Path())


@contextmanager
def prompt_platform(stall_at: str) -> Iterator[tuple[tuple[str, int], list[bytes], threading.Event]]:
    """A platform in a thread of its own, which answers each post at once.

    Yields its address, the posts, and an event that is set when the loop is to be stalled.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    posts: list[bytes] = []
    reached = threading.Event()

    def serve() -> None:
        while True:
            try:
                sock = listener.accept()[0]
            except OSError:
                return
            if stall_at == "connected":
                reached.set()
            with sock:
                posts.append(sock.recv(65_536))
                if stall_at == "answered":
                    reached.set()
                    time.sleep(STALL_S / 3)  # so that the answer comes while the loop stands still
                with contextlib.suppress(OSError):
                    sock.sendall(NO_CONTENT)
                    sock.recv(1)  # until the sender has closed

    threading.Thread(target=serve, daemon=True).start()
    yield listener.getsockname(), posts, reached
    listener.shutdown(socket.SHUT_RDWR)
    listener.close()


@pytest.mark.parametrize("stall_at", ["connected", "answered"])
def test_a_post_of_notices_whose_answer_waits_for_a_stalled_loop_is_not_given_up(stall_at: str) -> None:
    async def test() -> None:
        with prompt_platform(stall_at) as (address, posts, reached):
            acknowledged: asyncio.Queue[str] = asyncio.Queue()
            known = EndpointList({"seq": 41, "whole": True, "hosts": []})
            discovery = Discovery(address, known, lambda _: None, acknowledged.put_nowait)
            task = asyncio.create_task(discovery.run())
            discovery.notify("m", Completion(CompletionState.FAILED))
            while not reached.is_set():
                await asyncio.sleep(0)
            time.sleep(STALL_S)
            assert await with_timeout(acknowledged.get()) == "m"
            assert len(posts) == 1
            task.cancel()

    run_test(test)


def test_calls_whose_answers_wait_for_a_stalled_loop_do_not_count_as_failures(tmp_path: Path) -> None:
    """All answers lie unread in the sockets when the calls become overdue."""

    @run_async_test
    async def test(state: Path) -> None:
        async with World(state) as world:
            for number in range(CALLS):
                await world.submit(f"m{number}")
            requests = [await world.receiver.next() for _ in range(CALLS)]
            dispatcher = world.sender.engine.dispatcher
            (breaker,) = dispatcher.registry.all_breakers()
            limit_s = breaker.overdue_after() / 1e6
            assert limit_s < 2.5
            for request in requests:
                request.answer(200)
            time.sleep(limit_s + 0.1)
            with mock.patch.object(Breaker, "record_failure", autospec=True) as record_failure:
                while world.sender.engine.attempts.calls:
                    await asyncio.sleep(0.005)
            assert record_failure.call_args_list == []

    test(tmp_path)


# The time limit itself.


async def is_given_up(limit_s: float, work: Callable[[], Any]) -> bool:
    try:
        async with PeerTimeout(limit_s):
            await work()
    except TimeoutError:
        return True
    return False


def test_a_peer_that_is_silent_for_the_limit_is_given_up() -> None:
    async def test() -> None:
        began = time.monotonic()
        assert await is_given_up(0.1, asyncio.Event().wait)
        assert time.monotonic() - began >= 0.1

    run_test(test)


@pytest.mark.parametrize("stalls", [1, 3])
def test_time_in_which_the_loop_stood_still_is_not_the_peers(stalls: int) -> None:
    async def answer_after_stalls() -> None:
        for _ in range(stalls):
            await asyncio.sleep(0.01)
            time.sleep(0.2)
        await asyncio.sleep(0.02)

    async def test() -> None:
        assert not await is_given_up(0.2, answer_after_stalls)

    run_test(test)


def test_a_stall_gives_a_silent_peer_no_unlimited_time() -> None:
    async def stall_at_the_end() -> None:
        await asyncio.sleep(0.09)
        time.sleep(0.2)
        await asyncio.Event().wait()

    async def test() -> None:
        assert await is_given_up(0.1, stall_at_the_end)

    run_test(test)


def test_a_limit_that_is_over_already_leaves_time_to_read_what_has_arrived() -> None:
    async def test() -> None:
        assert not await is_given_up(-1.0, lambda: asyncio.sleep(LATE_GRACE_S / 4))
        assert await is_given_up(-1.0, asyncio.Event().wait)

    run_test(test)


def test_a_cancellation_from_outside_stays_one() -> None:
    async def test() -> None:
        task = asyncio.create_task(is_given_up(10, asyncio.Event().wait))
        await asyncio.sleep(0.01)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    run_test(test)


def test_an_error_in_time_passes_through() -> None:
    async def fail() -> None:
        raise ConnectionResetError

    async def test() -> None:
        with pytest.raises(ConnectionResetError):
            await is_given_up(10, fail)

    run_test(test)
