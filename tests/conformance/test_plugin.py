"""Tests of the gRPC plug-in alone: cancelled calls, a stalled or killed host, broken connections."""

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

from conformance.sides import METHOD, TIMEOUT_S, PluginSide
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


def run_async(test: Callable[[Path], Any]) -> Callable[[Path], None]:
    def run(tmp_path: Path) -> None:
        asyncio.run(asyncio.wait_for(test(tmp_path), 2 * TIMEOUT_S))

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


def build_metadata(message_class: str = "safe", key: str = "", **other_pairs: str) -> list[tuple[str, str]]:
    metadata = {
        "elmglade-class": message_class,
        "elmglade-destination": "2",
        "idempotency-key": "i",
        **other_pairs,
    }
    if key:
        metadata["elmglade-key"] = key
    return [(name.replace("_", "-"), value) for name, value in metadata.items()]


def send(
    side: PluginSide,
    message_id: str,
    message_class: str = "safe",
    key: str = "",
    **options: Any,  # noqa: ANN401
) -> Any:  # noqa: ANN401
    stub = side.channel.unary_unary(METHOD)
    return stub(b"body", metadata=build_metadata(message_class, key, elmglade_id=message_id), **options)


# Mapping of status codes and metadata.


@pytest.mark.parametrize("code", list(Code), ids=lambda code: code.name)
def test_every_status_code_maps_to_a_result(code: grpc.StatusCode) -> None:
    result = map_status(code, None)
    if code is Code.OK:
        assert result == AttemptResult(Outcome.OK, is_final=True)
    elif code in FINAL:
        assert result == AttemptResult(Outcome.OK, is_final=True, status=code.name)
    else:
        assert result == AttemptResult(MAY_HAVE_RUN[code])
        assert result.outcome not in NEVER_RAN, "only RetryInfo proves that a call did not run"
    with_retry_info = map_status(code, 0.25)
    assert with_retry_info == (
        AttemptResult(Outcome.FULL, retry_after_us=250_000) if code in REJECTION_CODES else result
    )


def test_retry_info_is_read_back_and_malformed_trailers_are_ignored() -> None:
    assert retry_after(trailers(Code.UNAVAILABLE, "full", 1.25)) == 1.25
    assert retry_after(None) is None and retry_after([("other", "x")]) is None
    assert retry_after([("grpc-status-details-bin", b"\xff\xff noise")]) is None


def test_metadata_for_the_endpoint_survives_the_form_in_the_journal() -> None:
    routing = (("elmglade-key", "k"), ("idempotency-key", "i"))
    metadata = (("x-trace", "7"), ("x-blob-bin", b"\x00\xff"), *routing)
    assert decode_extras(encode_extras(METHOD, metadata)) == (
        METHOD,
        [("x-trace", "7"), ("x-blob-bin", b"\x00\xff")],
    )


# Calls as the host sees them.


@run_async
async def test_a_stub_gets_the_reply_and_the_endpoint_gets_the_hosts_metadata(state: Path) -> None:
    async with PluginSide(state, {}) as side:
        stub = side.channel.unary_unary(METHOD, str.encode, bytes.decode)
        host_metadata = [("x-trace", "7"), ("x-b-bin", b"\x00")]
        call = stub("hello", timeout=5, metadata=[*build_metadata(elmglade_id="m"), *host_metadata])
        assert await call == "hello" and await call.code() is Code.OK
        assert call.done() and not call.cancelled() and not call.cancel()
        endpoint = side.endpoints["c"]
        assert endpoint.methods["m"] == METHOD
        metadata = dict(endpoint.metadata["m"])
        assert metadata["x-trace"] == "7" and metadata["x-b-bin"] == b"\x00"
        assert metadata["idempotency-key"] == "i" and "elmglade-class" not in metadata


@run_async
async def test_a_rejection_has_retry_info_and_a_failure_has_none(state: Path) -> None:
    async with PluginSide(state, {"f": [RESET]}) as side:
        unreachable = [*build_metadata(), ("elmglade-destination", "9")]
        with pytest.raises(grpc.aio.AioRpcError) as rejected:
            await side.channel.unary_unary(METHOD)(b"", timeout=0.2, metadata=unreachable)
        assert rejected.value.code() is Code.UNAVAILABLE
        assert (retry_after(rejected.value.trailing_metadata()) or 0) > 0
        with pytest.raises(grpc.aio.AioRpcError) as failed:
            await send(side, "f", "unsafe")
        assert failed.value.code() is Code.UNKNOWN and retry_after(failed.value.trailing_metadata()) is None


@run_async
async def test_a_timeout_shorter_than_the_class_deadline_ends_the_message(state: Path) -> None:
    async with PluginSide(state, {"m": [STALL]}) as side:
        call = send(side, "m", "unsafe", timeout=0.3)
        assert 0 < call.time_remaining() <= 0.3
        with pytest.raises(grpc.aio.AioRpcError) as expired:
            await call
        assert expired.value.code() is Code.DEADLINE_EXCEEDED
        assert side.channel.pending() == [] and side.script.call_counts["m"] == 1


@run_async
async def test_a_final_status_of_the_endpoint_reaches_the_caller_without_a_retry(state: Path) -> None:
    async with PluginSide(state, {}) as side:

        async def reject(answer: ScriptedAnswer, call: int, request: bytes, context: Any) -> bytes:  # noqa: ANN401
            await context.abort(Code.INVALID_ARGUMENT, "no such station")
            raise AssertionError

        side.endpoints["c"].answer_call = reject
        with pytest.raises(grpc.aio.AioRpcError) as failed:
            await send(side, "m")
        assert (failed.value.code(), failed.value.details()) == (Code.INVALID_ARGUMENT, "no such station")
        assert side.script.call_counts["m"] == 1 and side.channel.pending() == []


@pytest.mark.parametrize("cancelled", ["call", "task"])
def test_a_cancel_during_an_attempt_delays_the_next_message_of_its_key(
    cancelled: str, tmp_path: Path
) -> None:
    """The attempt may have run, so the next message of the key is delayed. The slot is freed."""

    async def test(state: Path) -> None:
        async with PluginSide(state, {"m1": [STALL]}, slots=1) as side:
            side.keys |= {"m1": "k", "m2": "k"}
            first = send(side, "m1", "ordered", "k")
            task = asyncio.ensure_future(first) if cancelled == "task" else None
            await side.wait_for_calls("m1")
            second = send(side, "m2", "ordered", "k")
            if task:
                task.cancel()
            else:
                assert first.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await (task or first)
            assert first.cancelled() and await first.code() is Code.CANCELLED
            assert await second == b"body"
            _, finished, started, _ = [
                event for event in side.history.events if isinstance(event, AttemptStarted | AttemptFinished)
            ]
            assert started.at - finished.at > 0.08, "the next message of the key was delayed"
            assert side.channel.pending() == [] and side.channel.engine.attempts.calls == {}
            assert side.script.call_counts == {"m1": 1, "m2": 1}
            assert side.channel.collect("m1") is None

    asyncio.run(asyncio.wait_for(test(tmp_path), 2 * TIMEOUT_S))


@run_async
async def test_a_call_cancelled_before_acceptance_leaves_no_message(state: Path) -> None:
    async with PluginSide(state, {}) as side:
        call = send(side, "m")
        assert call.cancel()
        assert await send(side, "n") == b"body"
        assert side.script.call_counts == {"n": 1} and side.channel.pending() == []


@run_async
async def test_cancelling_a_message_that_waits_for_its_key_removes_it(state: Path) -> None:
    async with PluginSide(state, {"m1": [ScriptedAnswer(EndpointBehavior.SERVE, 0.1)]}) as side:
        first, held = send(side, "m1", "ordered", "k"), send(side, "m2", "ordered", "k")
        await side.wait_for_calls("m1")
        assert side.channel.pending() == ["m1", "m2"] and held.cancel()
        assert side.channel.pending() == ["m1"]
        assert await first == b"body" and await send(side, "m3", "ordered", "k") == b"body"
        assert side.script.call_counts == {"m1": 1, "m3": 1}


@run_async
async def test_messages_that_wait_at_close_resume_when_the_channel_is_opened_again(state: Path) -> None:
    async with PluginSide(state, {"m1": [STALL, SERVE]}) as side:
        calls = [send(side, name, "ordered", "k") for name in ("m1", "m2")]
        await side.wait_for_calls("m1")
        await side.channel.close()
        for call in calls:
            with pytest.raises(grpc.aio.AioRpcError) as closed:
                await call
            assert closed.value.code() is Code.UNKNOWN and "kept" in (closed.value.details() or "")
        with pytest.raises(RuntimeError, match="closed"):
            send(side, "m3")
        side.keys |= {"m1": "k", "m2": "k"}
        await side.open()
        await side.wait_until_completed("m1", "m2")
        assert side.final_states == {"m1": "delivered", "m2": "delivered"}
        assert side.collect_result().order == {"k": ["m1", "m2"]}


@run_async
async def test_close_with_grace_waits_for_the_attempt_in_flight(state: Path) -> None:
    async with PluginSide(state, {"m": [ScriptedAnswer(EndpointBehavior.SERVE, 0.1)]}) as side:
        call = send(side, "m")
        await side.wait_for_calls("m")
        await side.channel.close(grace=5)
        assert await call == b"body"
        await side.open()


@run_async
async def test_a_call_with_the_same_id_after_a_restart_collects_the_stored_answer(state: Path) -> None:
    async with PluginSide(state, {"m": [STALL]}) as side:
        send(side, "m", "unsafe")
        await side.wait_for_calls("m")
        await side.channel.close()
        side.channel = await open_channel(
            side.configuration(), state
        )  # opening completes the message as failed: it may have run
        with pytest.raises(grpc.aio.AioRpcError) as failed:
            await send(side, "m", "unsafe")
        assert failed.value.code() is Code.UNKNOWN and side.script.call_counts["m"] == 1
        assert side.channel.collect("m") is None


@run_async
async def test_stored_answers_are_collected_once_and_their_number_is_limited(state: Path) -> None:
    async with PluginSide(state, {}) as side:
        await side.channel.close()
        channel = await open_channel(side.configuration(), state, kept=3)
        for number in range(5):
            channel.answers.add(f"m{number}", "delivered", 0, b"reply", "")
        assert channel.answers.lost_answers == 2 and channel.collect("m0") is None
        completion = channel.collect("m3")
        assert completion is not None and (completion.state, completion.reply) == (
            CompletionState.DELIVERED,
            b"reply",
        )
        assert channel.collect("m3") is None
        await channel.close()
        channel = await open_channel(side.configuration(), state)
        assert channel.collect("m3") is None and channel.collect("m4") is not None
        await channel.close()
        await side.open()


@run_async
async def test_a_second_channel_on_the_same_folder_is_rejected(state: Path) -> None:
    async with PluginSide(state, {}) as side:
        with pytest.raises(LockTakenError, match="another sender"):
            await open_channel(side.configuration(), state)
        assert await send(side, "m") == b"body"


@run_async
async def test_a_stalled_event_loop_loses_no_call(state: Path) -> None:
    """A stall of two seconds: the clocks of the engine and of the event loop jump ahead."""
    async with PluginSide(state, {"m1": [ScriptedAnswer(EndpointBehavior.SERVE, 0.05)]}) as side:
        loop, engine = asyncio.get_running_loop(), side.channel.engine
        calls = [send(side, f"m{number}", "ordered", "k") for number in (1, 2, 3)]
        await side.wait_for_calls("m1")
        time, now = loop.time, engine.now
        loop.time = lambda: time() + 2.0  # type: ignore[method-assign]
        engine.now = lambda: now() + 2_000_000
        assert [await call for call in calls] == [b"body"] * 3
        assert side.script.call_counts == {"m1": 1, "m2": 1, "m3": 1}


@run_async
async def test_a_call_from_another_thread_raises_runtime_error(state: Path) -> None:
    async with PluginSide(state, {}) as side:
        errors: list[BaseException] = []

        def use_channel() -> None:
            for operation in (lambda: send(side, "m"), lambda: side.channel.collect("m")):
                try:
                    operation()
                except RuntimeError as error:
                    errors.append(error)

        thread = threading.Thread(target=use_channel)
        thread.start()
        await asyncio.to_thread(thread.join)
        assert len(errors) == 2 and "another thread" in str(errors[0])
        assert side.channel.pending() == []


@run_async
async def test_the_error_of_an_invalid_call_states_the_reason(state: Path) -> None:
    async with PluginSide(state, {}) as side:
        stub = side.channel.unary_unary(METHOD)
        for metadata, pattern in (
            ([], "elmglade-destination"),
            (build_metadata("nothing"), "no class 'nothing'"),
            ([("elmglade-class", "keyed"), ("elmglade-destination", "2")], "idempotency key"),
            ([*build_metadata(), ("elmglade-destination", "77")], "no endpoint of destination 77"),
        ):
            with pytest.raises(BadRouteError, match=pattern):
                stub(b"", metadata=metadata)
        for kind in ("unary_stream", "stream_unary", "stream_stream"):
            with pytest.raises(NotImplementedError, match="unary calls only"):
                getattr(side.channel, kind)(METHOD)(b"")


# The gRPC library neither retries nor queues calls by itself.


def test_a_host_cannot_enable_the_retries_of_the_library() -> None:
    options = [("grpc.enable_retries", 1), ("grpc.max_send_message_length", 9)]
    transport = GrpcTransport(1, dict, lambda *_: None, options)
    assert dict(transport.options)["grpc.enable_retries"] == 0
    assert dict(transport.options)["grpc.max_send_message_length"] == 9
    assert {name for name, _ in OPTIONS} <= RESERVED_OPTIONS


RETRY_POLICY = """{"methodConfig": [{"name": [{}], "waitForReady": true, "retryPolicy": {"maxAttempts": 5,
"initialBackoff": "0.01s", "maxBackoff": "0.02s", "backoffMultiplier": 1,
"retryableStatusCodes": ["UNAVAILABLE", "INTERNAL"]}}]}"""


@run_async
async def test_the_endpoint_gets_only_the_calls_that_the_engine_makes(state: Path) -> None:
    """The host sets a retry policy with which the gRPC library would send each call five times."""
    async with PluginSide(state, {"u": [RESET], "e": [ScriptedAnswer(EndpointBehavior.ERROR)]}) as side:
        await side.channel.close()
        options = [("grpc.service_config", RETRY_POLICY), ("grpc.enable_retries", 1)]
        side.channel = await open_channel(side.configuration(), state, options=options)
        for name in ("u", "e"):
            with pytest.raises(grpc.aio.AioRpcError):
                await send(side, name, "unsafe")
        assert side.script.call_counts == {"u": 1, "e": 1}


@run_async
async def test_the_library_queues_no_call_for_an_endpoint_that_is_down(state: Path) -> None:
    """A call whose connection was refused never ran, and the breaker opens.

    After the endpoint has started again, the gRPC library sends none of the earlier calls.
    """
    async with PluginSide(state, {}) as side:
        await side.endpoints["c"].stop()
        for number in range(3):
            with pytest.raises(grpc.aio.AioRpcError) as rejected:
                await send(side, f"m{number}", "unsafe", timeout=0.2, wait_for_ready=True)
            assert rejected.value.code() is Code.UNAVAILABLE, "it never ran, so it may be retried"
        await side.endpoints["c"].start()
        assert await send(side, "after", "unsafe", timeout=6) == b"body"
        assert side.script.call_counts == {"after": 1}


@asynccontextmanager
async def breaking_relay(
    port: int, must_break: Callable[[bytes], bool]
) -> AsyncIterator[tuple[int, list[bytes]]]:
    """A relay that aborts a connection once `must_break` is true for the bytes from the client."""
    received: list[bytes] = []

    async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        server_reader, server_writer = await asyncio.open_connection("127.0.0.1", port)

        async def relay_replies() -> None:
            with contextlib.suppress(ConnectionError):
                while data := await server_reader.read(65536):
                    writer.write(data)

        task = asyncio.create_task(relay_replies())
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                received.append(data)
                if must_break(b"".join(received)):
                    break
                server_writer.write(data)
        task.cancel()
        for stream in (writer, server_writer):
            stream.transport.abort()

    server = await asyncio.start_server(relay, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1], received
    finally:
        server.close()


def has_body(data: bytes) -> bool:
    return b"BODY" in data


@pytest.mark.parametrize(("kind", "code"), [("unsafe", Code.UNKNOWN), ("safe", None)])
def test_a_call_whose_connection_breaks_counts_as_one_that_may_have_run(
    kind: str, code: grpc.StatusCode | None, tmp_path: Path
) -> None:
    """The connection breaks within the request, so that the endpoint never gets the call.

    The gRPC library does not report how much was sent, so an unsafe message fails, and a safe one is retried.
    """

    async def test(state: Path) -> None:
        async with PluginSide(state, {}) as side:
            breaks = [True]  # emptied by the first break

            def must_break(data: bytes) -> bool:
                return has_body(data) and bool(breaks) and breaks.pop()

            async with breaking_relay(side.endpoints["c"].port, must_break) as (port, _):
                await side.channel.close()
                endpoint_port, side.endpoints["c"].port = side.endpoints["c"].port, port
                side.channel = await open_channel(side.configuration(), state)
                side.endpoints["c"].port = endpoint_port
                call = side.channel.unary_unary(METHOD)(
                    b"BODY", metadata=build_metadata(kind, elmglade_id="m")
                )
                if code:
                    with pytest.raises(grpc.aio.AioRpcError) as failed:
                        await call
                    assert failed.value.code() is code and side.script.call_counts["m"] == 0
                else:
                    assert await call == b"BODY" and side.script.call_counts["m"] == 1

    asyncio.run(asyncio.wait_for(test(tmp_path), 2 * TIMEOUT_S))


@run_async
async def test_a_goaway_during_a_call_lets_it_end_and_later_calls_succeed(state: Path) -> None:
    async with PluginSide(state, {"m": [ScriptedAnswer(EndpointBehavior.SERVE, 0.15)]}) as side:
        first = send(side, "m", "unsafe")
        await side.wait_for_calls("m")
        endpoint = side.endpoints["c"]
        stopping = asyncio.create_task(endpoint.stop(grace=5))
        assert await first == b"body"
        await stopping
        await endpoint.start()
        assert await send(side, "n", "unsafe", timeout=6) == b"body"
        assert side.script.call_counts == {"m": 1, "n": 1}


@run_async
async def test_a_call_whose_reply_exceeds_the_size_limit_counts_as_run(state: Path) -> None:
    async with PluginSide(state, {}) as side:
        await side.channel.close()
        side.channel = await open_channel(
            side.configuration(), state, options=[("grpc.max_receive_message_length", 64)]
        )
        stub = side.channel.unary_unary(METHOD)
        with pytest.raises(grpc.aio.AioRpcError) as failed:
            await stub(b"x" * 1000, metadata=build_metadata("unsafe", elmglade_id="m"))
        assert failed.value.code() is Code.UNKNOWN and side.script.call_counts["m"] == 1


@run_async
async def test_draining_an_endpoint_lets_the_call_in_flight_end(state: Path) -> None:
    async with PluginSide(state, {"m": [ScriptedAnswer(EndpointBehavior.SERVE, 0.1)]}) as side:
        call = send(side, "m")
        await side.wait_for_calls("m")
        side.channel.directory.drain("c")
        assert await call == b"body"
        with pytest.raises(grpc.aio.AioRpcError) as rejected:
            await send(side, "n", timeout=0.2)
        assert rejected.value.code() is Code.UNAVAILABLE and side.script.call_counts == {"m": 1}


@run_async
async def test_a_defect_closes_the_channel_and_fails_every_call(state: Path) -> None:
    async with PluginSide(state, {"m": [STALL]}) as side:
        call = send(side, "m")
        await side.wait_for_calls("m")
        side.channel.engine.dispatcher.handle = lambda *_: 1 / 0  # type: ignore[assignment]
        side.channel.engine.post(None)  # type: ignore[arg-type]
        with pytest.raises(grpc.aio.AioRpcError) as failed:
            await call
        assert failed.value.code() is Code.INTERNAL and "ZeroDivisionError" in (failed.value.details() or "")
        with pytest.raises(RuntimeError, match="ZeroDivisionError"):
            send(side, "n")
        await side.open()


# A killed host.

HOST = Path(__file__).parent / "host.py"


@pytest.mark.parametrize("seed", range(4))
def test_a_killed_host_resumes_from_the_journal_in_order(seed: int, tmp_path: Path) -> None:
    """The host sends six unsafe or keyed messages for each of three keys, and is killed twice before the end.

    The third process runs until no message is left.
    """

    async def test(state: Path) -> None:
        script, history = Script(default=ScriptedAnswer(EndpointBehavior.SERVE, 0.02)), History()
        async with GrpcEndpoint("c", script, history) as endpoint:
            restarts = 0
            for restarts, stop_at in enumerate((4 + seed, 9 + seed, None)):
                process = await asyncio.create_subprocess_exec(
                    sys.executable, str(HOST), str(state), str(endpoint.port), str(restarts),
                    stdout=asyncio.subprocess.PIPE,
                    env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
                )  # fmt: skip
                if stop_at is None:
                    output, _ = await asyncio.wait_for(process.communicate(), TIMEOUT_S)
                    assert process.returncode == 0
                else:
                    while sum(script.call_counts.values()) < stop_at:
                        await asyncio.sleep(0.002)
                    process.send_signal(signal.SIGKILL)
                    await process.wait()
            assert restarts == 2 and output.split()[-1] == b"pending:0"
            started = [event.message for event in history.events if type(event).__name__ == "AttemptStarted"]
            for key in "abc":
                ids = [name for name in dict.fromkeys(started) if name.startswith(key)]
                assert ids == sorted(ids, key=lambda name: int(name[1:])), ids
            unsafe = [name for name in script.call_counts if name.startswith("c")]
            assert unsafe and all(script.call_counts[name] == 1 for name in unsafe)

    asyncio.run(asyncio.wait_for(test(tmp_path), 3 * TIMEOUT_S))
