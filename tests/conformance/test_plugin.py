"""What only a plug-in meets: its host cancels, stalls, closes, dies, and the library has ideas of its own."""

import asyncio
import contextlib
import os
import signal
import sys
import threading
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import grpc
import pytest

from conformance.sides import METHOD, PATIENCE, PluginSide
from message_sender.core.ports import AttemptResult, CompletionState
from message_sender.grpc import BadRouteError, open_channel
from message_sender.grpc.retry import retry_after, trailers
from message_sender.grpc.route import decode_extras, encode_extras
from message_sender.grpc.status_mapping import FINAL, MAY_HAVE_RUN, REJECTION_CODES, map_status
from message_sender.grpc.transport import OPTIONS, RESERVED_OPTIONS, GrpcTransport
from message_sender.journal.lock import LockTakenError
from message_sender.policy.model import NEVER_RAN, Outcome
from message_sender.testbed.grpc import GrpcEndpoint
from message_sender.testbed.history import AttemptFinished, AttemptStarted, History
from message_sender.testbed.script import EndpointBehavior, Script, ScriptedAnswer

Code = grpc.StatusCode
STALL, SERVE, RESET = (
    ScriptedAnswer(EndpointBehavior.STALL),
    ScriptedAnswer(EndpointBehavior.SERVE),
    ScriptedAnswer(EndpointBehavior.RESET),
)


def play(test: Callable[[Path], Any]) -> Callable[[Path], None]:
    def run(tmp_path: Path) -> None:
        asyncio.run(asyncio.wait_for(test(tmp_path), 2 * PATIENCE))

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


def told(kind: str = "safe", key: str = "", **more: str) -> list[tuple[str, str]]:
    metadata = {"elmglade-class": kind, "elmglade-destination": "2", "idempotency-key": "i", **more}
    if key:
        metadata["elmglade-key"] = key
    return [(name.replace("_", "-"), value) for name, value in metadata.items()]


def send(side: PluginSide, name: str, kind: str = "safe", key: str = "", **more: Any) -> Any:  # noqa: ANN401
    stub = side.channel.unary_unary(METHOD)
    return stub(b"body", metadata=told(kind, key, elmglade_id=name), **more)


# The table.


@pytest.mark.parametrize("code", list(Code), ids=lambda each: each.name)
def test_every_status_has_its_row(code: grpc.StatusCode) -> None:
    answer = map_status(code, None)
    if code is Code.OK:
        assert answer == AttemptResult(Outcome.OK, is_final=True)
    elif code in FINAL:
        assert answer == AttemptResult(Outcome.OK, is_final=True, status=code.name)
    else:
        assert answer == AttemptResult(MAY_HAVE_RUN[code])
        assert answer.outcome not in NEVER_RAN, "only the endpoint's word proves that a call did not run"
    said = map_status(code, 0.25)
    assert said == (
        AttemptResult(Outcome.FULL, retry_after_us=250_000) if code in REJECTION_CODES else answer
    )


def test_retry_info_is_read_as_it_is_written_and_noise_is_none() -> None:
    assert retry_after(trailers(Code.UNAVAILABLE, "full", 1.25)) == 1.25
    assert retry_after(None) is None and retry_after([("other", "x")]) is None
    assert retry_after([("grpc-status-details-bin", b"\xff\xff noise")]) is None


def test_metadata_goes_on_unchanged_through_the_journals_form() -> None:
    own = (("elmglade-key", "k"), ("idempotency-key", "i"))
    metadata = (("x-trace", "7"), ("x-blob-bin", b"\x00\xff"), *own)
    assert decode_extras(encode_extras(METHOD, metadata)) == (
        METHOD,
        [("x-trace", "7"), ("x-blob-bin", b"\x00\xff")],
    )


# The host's side of a call.


@play
async def test_a_stub_gets_its_reply_and_the_endpoint_the_hosts_metadata(state: Path) -> None:
    async with PluginSide(state, {}) as side:
        stub = side.channel.unary_unary(METHOD, str.encode, bytes.decode)
        own = [("x-trace", "7"), ("x-b-bin", b"\x00")]
        call = stub("hello", timeout=5, metadata=[*told(elmglade_id="m"), *own])
        assert await call == "hello" and await call.code() is Code.OK
        assert call.done() and not call.cancelled() and not call.cancel()
        endpoint = side.endpoints["c"]
        assert endpoint.methods["m"] == METHOD
        metadata = dict(endpoint.metadata["m"])
        assert metadata["x-trace"] == "7" and metadata["x-b-bin"] == b"\x00"
        assert metadata["idempotency-key"] == "i" and "elmglade-class" not in metadata


@play
async def test_a_refusal_carries_retry_info_and_a_failure_promises_nothing(state: Path) -> None:
    async with PluginSide(state, {"f": [RESET]}) as side:
        nowhere = [*told(), ("elmglade-destination", "9")]
        with pytest.raises(grpc.aio.AioRpcError) as refused:
            await side.channel.unary_unary(METHOD)(b"", timeout=0.2, metadata=nowhere)
        assert refused.value.code() is Code.UNAVAILABLE
        assert (retry_after(refused.value.trailing_metadata()) or 0) > 0
        with pytest.raises(grpc.aio.AioRpcError) as failed:
            await send(side, "f", "unsafe")
        assert failed.value.code() is Code.UNKNOWN and retry_after(failed.value.trailing_metadata()) is None


@play
async def test_a_callers_deadline_before_its_classs_ends_the_message(state: Path) -> None:
    async with PluginSide(state, {"m": [STALL]}) as side:
        call = send(side, "m", "unsafe", timeout=0.3)
        assert 0 < call.time_remaining() <= 0.3
        with pytest.raises(grpc.aio.AioRpcError) as late:
            await call
        assert late.value.code() is Code.DEADLINE_EXCEEDED
        assert side.channel.pending() == [] and side.script.call_counts["m"] == 1


@play
async def test_the_endpoints_own_verdict_is_the_callers_at_once(state: Path) -> None:
    async with PluginSide(state, {}) as side:

        async def refuse(act: ScriptedAnswer, call: int, request: bytes, context: Any) -> bytes:  # noqa: ANN401
            await context.abort(Code.INVALID_ARGUMENT, "no such station")
            raise AssertionError

        side.endpoints["c"].answer_call = refuse
        with pytest.raises(grpc.aio.AioRpcError) as said:
            await send(side, "m")
        assert (said.value.code(), said.value.details()) == (Code.INVALID_ARGUMENT, "no such station")
        assert side.script.call_counts["m"] == 1 and side.channel.pending() == []


@pytest.mark.parametrize("way", ["call", "task"])
def test_a_cancel_while_an_attempt_is_out_rests_its_key(way: str, tmp_path: Path) -> None:
    """The attempt may have run; the next of the key waits for the rest; the slot is free again."""

    async def test(state: Path) -> None:
        async with PluginSide(state, {"m1": [STALL]}, slots=1) as side:
            side.keys |= {"m1": "k", "m2": "k"}
            first = send(side, "m1", "ordered", "k")
            waiting = asyncio.ensure_future(first) if way == "task" else None
            await side.came("m1")
            second = send(side, "m2", "ordered", "k")
            if waiting:
                waiting.cancel()
            else:
                assert first.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await (waiting or first)
            assert first.cancelled() and await first.code() is Code.CANCELLED
            assert await second == b"body"
            _, over, began, _ = [
                each for each in side.history.events if isinstance(each, AttemptStarted | AttemptFinished)
            ]
            assert began.at - over.at > 0.08, "the key has rested"
            assert side.channel.pending() == [] and side.channel.engine.attempts.calls == {}
            assert side.script.call_counts == {"m1": 1, "m2": 1}
            assert side.channel.collect("m1") is None

    asyncio.run(asyncio.wait_for(test(tmp_path), 2 * PATIENCE))


@play
async def test_a_cancel_before_it_is_taken_on_leaves_nothing(state: Path) -> None:
    async with PluginSide(state, {}) as side:
        call = send(side, "m")
        assert call.cancel()
        assert await send(side, "n") == b"body"
        assert side.script.call_counts == {"n": 1} and side.channel.pending() == []


@play
async def test_a_cancel_of_a_held_message_ends_it_there(state: Path) -> None:
    async with PluginSide(state, {"m1": [ScriptedAnswer(EndpointBehavior.SERVE, 0.1)]}) as side:
        first, held = send(side, "m1", "ordered", "k"), send(side, "m2", "ordered", "k")
        await side.came("m1")
        assert side.channel.pending() == ["m1", "m2"] and held.cancel()
        assert side.channel.pending() == ["m1"]
        assert await first == b"body" and await send(side, "m3", "ordered", "k") == b"body"
        assert side.script.call_counts == {"m1": 1, "m3": 1}


@play
async def test_closing_with_messages_held_keeps_them_for_the_next_life(state: Path) -> None:
    async with PluginSide(state, {"m1": [STALL, SERVE]}) as side:
        calls = [send(side, name, "ordered", "k") for name in ("m1", "m2")]
        await side.came("m1")
        await side.channel.close()
        for call in calls:
            with pytest.raises(grpc.aio.AioRpcError) as closed:
                await call
            assert closed.value.code() is Code.UNKNOWN and "kept" in (closed.value.details() or "")
        with pytest.raises(RuntimeError, match="closed"):
            send(side, "m3")
        side.keys |= {"m1": "k", "m2": "k"}
        await side.open()
        await side.all_ended("m1", "m2")
        assert side.ends == {"m1": "delivered", "m2": "delivered"}
        assert side.result().order == {"k": ["m1", "m2"]}


@play
async def test_a_close_with_grace_lets_what_is_out_end(state: Path) -> None:
    async with PluginSide(state, {"m": [ScriptedAnswer(EndpointBehavior.SERVE, 0.1)]}) as side:
        call = send(side, "m")
        await side.came("m")
        await side.channel.close(grace=5)
        assert await call == b"body"
        await side.open()


@play
async def test_the_same_id_after_a_restart_gets_the_answer_that_was_kept_once(state: Path) -> None:
    async with PluginSide(state, {"m": [STALL]}) as side:
        send(side, "m", "unsafe")
        await side.came("m")
        await side.channel.close()
        side.channel = await open_channel(side.told(), state)  # it ends as it is opened: it may have run
        with pytest.raises(grpc.aio.AioRpcError) as failed:
            await send(side, "m", "unsafe")
        assert failed.value.code() is Code.UNKNOWN and side.script.call_counts["m"] == 1
        assert side.channel.collect("m") is None


@play
async def test_kept_answers_are_collected_once_and_bounded(state: Path) -> None:
    async with PluginSide(state, {}) as side:
        await side.channel.close()
        channel = await open_channel(side.told(), state, kept=3)
        for number in range(5):
            channel.answers.add(f"m{number}", "delivered", 0, b"reply", "")
        assert channel.answers.lost_answers == 2 and channel.collect("m0") is None
        end = channel.collect("m3")
        assert end is not None and (end.state, end.reply) == (CompletionState.DELIVERED, b"reply")
        assert channel.collect("m3") is None
        await channel.close()
        channel = await open_channel(side.told(), state)
        assert channel.collect("m3") is None and channel.collect("m4") is not None
        await channel.close()
        await side.open()


@play
async def test_a_second_host_on_one_folder_is_refused(state: Path) -> None:
    async with PluginSide(state, {}) as side:
        with pytest.raises(LockTakenError, match="another sender"):
            await open_channel(side.told(), state)
        assert await send(side, "m") == b"body"


@play
async def test_a_host_whose_loop_stalls_loses_nothing(state: Path) -> None:
    """Two seconds in which nothing of it runs: the clock of the engine jumps, and that of the loop."""
    async with PluginSide(state, {"m1": [ScriptedAnswer(EndpointBehavior.SERVE, 0.05)]}) as side:
        loop, engine = asyncio.get_running_loop(), side.channel.engine
        calls = [send(side, f"m{each}", "ordered", "k") for each in (1, 2, 3)]
        await side.came("m1")
        time, now = loop.time, engine.now
        loop.time = lambda: time() + 2.0  # type: ignore[method-assign]
        engine.now = lambda: now() + 2_000_000
        assert [await each for each in calls] == [b"body"] * 3
        assert side.script.call_counts == {"m1": 1, "m2": 1, "m3": 1}


@play
async def test_a_call_from_another_thread_is_a_clear_error(state: Path) -> None:
    async with PluginSide(state, {}) as side:
        errors: list[BaseException] = []

        def elsewhere() -> None:
            for work in (lambda: send(side, "m"), lambda: side.channel.collect("m")):
                try:
                    work()
                except RuntimeError as error:
                    errors.append(error)

        thread = threading.Thread(target=elsewhere)
        thread.start()
        await asyncio.to_thread(thread.join)
        assert len(errors) == 2 and "another thread" in str(errors[0])
        assert side.channel.pending() == []


@play
async def test_what_cannot_be_handed_in_says_why(state: Path) -> None:
    async with PluginSide(state, {}) as side:
        stub = side.channel.unary_unary(METHOD)
        for metadata, words in (
            ([], "elmglade-destination"),
            (told("nothing"), "no class 'nothing'"),
            ([("elmglade-class", "keyed"), ("elmglade-destination", "2")], "idempotency key"),
            ([*told(), ("elmglade-destination", "77")], "no endpoint of destination 77"),
        ):
            with pytest.raises(BadRouteError, match=words):
                stub(b"", metadata=metadata)
        for kind in ("unary_stream", "stream_unary", "stream_stream"):
            with pytest.raises(NotImplementedError, match="unary calls only"):
                getattr(side.channel, kind)(METHOD)(b"")


# The library must not act behind the engine's back.


def test_a_host_cannot_switch_the_librarys_own_retries_on() -> None:
    options = [("grpc.enable_retries", 1), ("grpc.max_send_message_length", 9)]
    transport = GrpcTransport(1, dict, lambda *_: None, options)
    assert dict(transport.options)["grpc.enable_retries"] == 0
    assert dict(transport.options)["grpc.max_send_message_length"] == 9
    assert {name for name, _ in OPTIONS} <= RESERVED_OPTIONS


POLICY = """{"methodConfig": [{"name": [{}], "waitForReady": true, "retryPolicy": {"maxAttempts": 5,
"initialBackoff": "0.01s", "maxBackoff": "0.02s", "backoffMultiplier": 1,
"retryableStatusCodes": ["UNAVAILABLE", "INTERNAL"]}}]}"""


@play
async def test_the_endpoint_counts_no_call_that_the_engine_did_not_make(state: Path) -> None:
    """With a retry policy of the host's that would repeat each five times."""
    async with PluginSide(state, {"u": [RESET], "e": [ScriptedAnswer(EndpointBehavior.ERROR)]}) as side:
        await side.channel.close()
        options = [("grpc.service_config", POLICY), ("grpc.enable_retries", 1)]
        side.channel = await open_channel(side.told(), state, options=options)
        for name in ("u", "e"):
            with pytest.raises(grpc.aio.AioRpcError):
                await send(side, name, "unsafe")
        assert side.script.call_counts == {"u": 1, "e": 1}


@play
async def test_no_call_waits_behind_the_engines_back_for_an_endpoint_that_is_down(state: Path) -> None:
    """Refused connections never ran, open the breaker, and no call of the library's comes when it is back."""
    async with PluginSide(state, {}) as side:
        await side.endpoints["c"].stop()
        for number in range(3):
            with pytest.raises(grpc.aio.AioRpcError) as refused:
                await send(side, f"m{number}", "unsafe", timeout=0.2, wait_for_ready=True)
            assert refused.value.code() is Code.UNAVAILABLE, "it never ran, so it may come again"
        await side.endpoints["c"].start()
        assert await send(side, "after", "unsafe", timeout=6) == b"body"
        assert side.script.call_counts == {"after": 1}


@asynccontextmanager
async def cutting(port: int, after: Callable[[bytes], bool]) -> AsyncIterator[tuple[int, list[bytes]]]:
    """A relay that breaks a connection off once `after` holds for what came from the client."""
    came: list[bytes] = []

    async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        there, to = await asyncio.open_connection("127.0.0.1", port)

        async def back() -> None:
            with contextlib.suppress(ConnectionError):
                while data := await there.read(65536):
                    writer.write(data)

        task = asyncio.create_task(back())
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                came.append(data)
                if after(b"".join(came)):
                    break
                to.write(data)
        task.cancel()
        for each in (writer, to):
            each.transport.abort()

    server = await asyncio.start_server(relay, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1], came
    finally:
        server.close()


def data_frame(text: bytes) -> bool:
    return b"BODY" in text


@pytest.mark.parametrize(("kind", "code"), [("unsafe", Code.UNKNOWN), ("safe", None)])
def test_a_call_that_the_endpoint_never_saw_counts_as_one_that_may_have_run(
    kind: str, code: grpc.StatusCode | None, tmp_path: Path
) -> None:
    """The connection breaks between its head and its last byte. The library does not say which byte was the
    last to go, so an unsafe message fails; a safe one goes again."""

    async def test(state: Path) -> None:
        async with PluginSide(state, {}) as side:
            cuts = [True]

            def cut(text: bytes) -> bool:
                return data_frame(text) and bool(cuts) and cuts.pop()

            async with cutting(side.endpoints["c"].port, cut) as (port, _):
                await side.channel.close()
                real, side.endpoints["c"].port = side.endpoints["c"].port, port
                side.channel = await open_channel(side.told(), state)
                side.endpoints["c"].port = real
                call = side.channel.unary_unary(METHOD)(b"BODY", metadata=told(kind, elmglade_id="m"))
                if code:
                    with pytest.raises(grpc.aio.AioRpcError) as failed:
                        await call
                    assert failed.value.code() is code and side.script.call_counts["m"] == 0
                else:
                    assert await call == b"BODY" and side.script.call_counts["m"] == 1

    asyncio.run(asyncio.wait_for(test(tmp_path), 2 * PATIENCE))


@play
async def test_goaway_in_the_middle_lets_what_is_out_end_and_the_next_go_on(state: Path) -> None:
    async with PluginSide(state, {"m": [ScriptedAnswer(EndpointBehavior.SERVE, 0.15)]}) as side:
        first = send(side, "m", "unsafe")
        await side.came("m")
        endpoint = side.endpoints["c"]
        stopping = asyncio.create_task(endpoint.stop(grace=5))
        assert await first == b"body"
        await stopping
        await endpoint.start()
        assert await send(side, "n", "unsafe", timeout=6) == b"body"
        assert side.script.call_counts == {"m": 1, "n": 1}


@play
async def test_a_reply_larger_than_allowed_has_run(state: Path) -> None:
    async with PluginSide(state, {}) as side:
        await side.channel.close()
        side.channel = await open_channel(
            side.told(), state, options=[("grpc.max_receive_message_length", 64)]
        )
        stub = side.channel.unary_unary(METHOD)
        with pytest.raises(grpc.aio.AioRpcError) as failed:
            await stub(b"x" * 1000, metadata=told("unsafe", elmglade_id="m"))
        assert failed.value.code() is Code.UNKNOWN and side.script.call_counts["m"] == 1


@play
async def test_a_drained_endpoint_keeps_the_call_that_is_out(state: Path) -> None:
    async with PluginSide(state, {"m": [ScriptedAnswer(EndpointBehavior.SERVE, 0.1)]}) as side:
        call = send(side, "m")
        await side.came("m")
        side.channel.directory.drain("c")
        assert await call == b"body"
        with pytest.raises(grpc.aio.AioRpcError) as refused:
            await send(side, "n", timeout=0.2)
        assert refused.value.code() is Code.UNAVAILABLE and side.script.call_counts == {"m": 1}


@play
async def test_a_defect_ends_the_channel_and_every_caller_hears(state: Path) -> None:
    async with PluginSide(state, {"m": [STALL]}) as side:
        call = send(side, "m")
        await side.came("m")
        side.channel.engine.dispatcher.handle = lambda *_: 1 / 0  # type: ignore[assignment]
        side.channel.engine.post(None)  # type: ignore[arg-type]
        with pytest.raises(grpc.aio.AioRpcError) as ended:
            await call
        assert ended.value.code() is Code.INTERNAL and "ZeroDivisionError" in (ended.value.details() or "")
        with pytest.raises(RuntimeError, match="ZeroDivisionError"):
            send(side, "n")
        await side.open()


# A host that dies.

HOST = Path(__file__).parent / "host.py"


@pytest.mark.parametrize("seed", range(4))
def test_a_host_that_is_killed_goes_on_in_order_from_the_journal(seed: int, tmp_path: Path) -> None:
    """SIGKILL in the middle of three keys of six unsafe or keyed messages each, twice; then a life to its
    end."""

    async def test(state: Path) -> None:
        script, history = Script(default=ScriptedAnswer(EndpointBehavior.SERVE, 0.02)), History()
        async with GrpcEndpoint("c", script, history) as endpoint:
            lives = 0
            for lives, stop_at in enumerate((4 + seed, 9 + seed, None)):
                process = await asyncio.create_subprocess_exec(
                    sys.executable, str(HOST), str(state), str(endpoint.port), str(lives),
                    stdout=asyncio.subprocess.PIPE,
                    env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
                )  # fmt: skip
                if stop_at is None:
                    out, _ = await asyncio.wait_for(process.communicate(), PATIENCE)
                    assert process.returncode == 0
                else:
                    while sum(script.call_counts.values()) < stop_at:
                        await asyncio.sleep(0.002)
                    process.send_signal(signal.SIGKILL)
                    await process.wait()
            assert lives == 2 and out.split()[-1] == b"pending:0"
            began = [each.message for each in history.events if type(each).__name__ == "AttemptStarted"]
            for key in "abc":
                came = [name for name in dict.fromkeys(began) if name.startswith(key)]
                assert came == sorted(came, key=lambda name: int(name[1:])), came
            unsafe = [name for name in script.call_counts if name.startswith("c")]
            assert unsafe and all(script.call_counts[name] == 1 for name in unsafe)

    asyncio.run(asyncio.wait_for(test(tmp_path), 3 * PATIENCE))
