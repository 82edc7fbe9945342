"""The sender as a process that the platform starts: SIGKILL, SIGTERM, SIGHUP and invalid configurations."""

import asyncio
import json
import os
import re
import resource
import signal
import sys
import threading
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from peers import READY, Peer, Platform, ask, config_json, host, message, run_async_test, with_timeout

from message_sender import start as start_module

ROOT = Path(__file__).parent.parent


async def start(config_values: dict[str, Any] | str, state: Path) -> asyncio.subprocess.Process:
    config = state.parent / "config.json"
    config.write_text(config_values if isinstance(config_values, str) else json.dumps(config_values))
    return await launch(config, state)


async def launch(
    config: Path, state: Path, descriptor_limit: int = 0, **more: str
) -> asyncio.subprocess.Process:
    """Starts the process.

    Args:
        config: The configuration file.
        state: The state folder.
        descriptor_limit: The process' limit of open descriptors; 0: the limit of this process.
        more: Further environment variables.
    """

    def limit_descriptors() -> None:
        if descriptor_limit:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptor_limit, descriptor_limit))

    environment = os.environ | {"BALANCER_CONFIG": str(config), "BALANCER_STATE": str(state)} | more
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "message_sender", cwd=ROOT, env=environment, stderr=asyncio.subprocess.PIPE,
        preexec_fn=limit_descriptors,
    )  # fmt: skip


@asynccontextmanager
async def running_process(
    config_values: dict[str, Any], state: Path
) -> AsyncIterator[tuple[asyncio.subprocess.Process, Any]]:
    process = await start(config_values, state)
    try:
        assert process.stderr is not None
        while not (
            match := re.search(rb"ready on (\S+):(\d+)", await with_timeout(process.stderr.readline()))
        ):
            assert process.returncode is None
        yield process, (match[1].decode(), int(match[2]))
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


@run_async_test
async def test_accepted_messages_survive_sigkill(tmp_path: Path) -> None:
    state = tmp_path / "state"
    state.mkdir()
    async with Peer() as receiver, Platform() as platform:
        config_values = config_json(platform, host(receiver.dial))
        async with running_process(config_values, state) as (process, address):
            for name in ("m1", "m2", "m3"):
                assert (await ask(address, message(name))).status == 202
            (await receiver.next()).answer(200)
            await receiver.next()
            process.send_signal(signal.SIGKILL)
            await with_timeout(process.wait())
        while not receiver.requests.empty():
            receiver.requests.get_nowait()
        async with running_process(config_values, state) as (process, address):
            assert (await ask(address, READY)).status == 200
            seen = set()
            while not {"m2", "m3"} <= seen:
                request = await receiver.next()
                seen.add(request.id)
                request.answer(200)


@run_async_test
async def test_sigterm_ends_the_process_with_exit_code_0(tmp_path: Path) -> None:
    state = tmp_path / "state"
    state.mkdir()
    async with Platform() as platform, running_process(config_json(platform), state) as (process, _):
        process.send_signal(signal.SIGTERM)
        assert await with_timeout(process.wait()) == 0


@run_async_test
async def test_sighup_while_the_configuration_is_read_is_handled_later(tmp_path: Path) -> None:
    """Holds the process while it reads its configuration, by means of a pipe, and sends SIGHUP meanwhile.

    The pipe can be opened for writing once the process reads it.
    """
    state, pipe = tmp_path / "state", tmp_path / "config.json"
    state.mkdir()
    async with Platform() as old, Platform() as new:
        os.mkfifo(pipe)
        process = await launch(pipe, state)
        write = await run_in_thread(lambda: os.open(pipe, os.O_WRONLY))
        pipe.unlink()
        pipe.write_text(json.dumps(config_json(new)))
        process.send_signal(signal.SIGHUP)
        os.write(write, json.dumps(config_json(old)).encode())
        os.close(write)
        assert (await new.next()).target == "/registry/instances"
        process.send_signal(signal.SIGTERM)
        assert await with_timeout(process.wait()) == 0


async def run_in_thread(work: Callable[[], Any]) -> Any:  # noqa: ANN401
    """Runs a call that blocks until the other process acts; a daemon thread cannot delay the exit."""
    loop = asyncio.get_running_loop()
    done: asyncio.Future[Any] = loop.create_future()

    def run() -> None:
        result = work()
        loop.call_soon_threadsafe(done.set_result, result)

    threading.Thread(target=run, daemon=True).start()
    return await with_timeout(done)


SLOW_IMPORT = """
import importlib, os, sys
open(os.environ["STEP"], "w").close()
open(os.environ["GO"]).read()
sys.path.remove(os.path.dirname(__file__))
del sys.modules["h11"]
sys.modules["h11"] = importlib.import_module("h11")
"""


@run_async_test
async def test_sighup_during_imports_does_not_end_the_process(tmp_path: Path) -> None:
    """A replacement of h11 that blocks while it is imported holds the start at that step."""
    state, library = tmp_path / "state", tmp_path / "library"
    state.mkdir(), library.mkdir()
    (library / "h11.py").write_text(SLOW_IMPORT)
    pipes = {"STEP": str(tmp_path / "step"), "GO": str(tmp_path / "go")}
    for each in pipes.values():
        os.mkfifo(each)
    async with Platform() as platform:
        config = tmp_path / "config.json"
        config.write_text(json.dumps(config_json(platform)))
        process = await launch(config, state, PYTHONPATH=str(library), **pipes)
        await run_in_thread(Path(pipes["STEP"]).read_text)
        process.send_signal(signal.SIGHUP)
        await run_in_thread(lambda: Path(pipes["GO"]).write_text("go"))
        assert (await with_timeout(platform.watches.get())).target
        process.send_signal(signal.SIGTERM)
        assert await with_timeout(process.wait()) == 0


def test_sighup_before_the_sender_serves_is_handled_once_it_does(monkeypatch: pytest.MonkeyPatch) -> None:
    reloaded: list[object] = []
    monkeypatch.setattr(start_module, "reload_configuration", reloaded.append)

    async def test() -> None:
        reload, sender = start_module.Reload(), object()
        reload.request()
        assert reloaded == []
        reload.bind(sender)  # type: ignore[arg-type]
        assert reloaded == [sender]
        reload.request()
        assert reloaded == [sender] * 2

    asyncio.run(test())


@run_async_test
async def test_discovery_is_reachable_while_idle_clients_take_every_descriptor(tmp_path: Path) -> None:
    """The process' descriptor limit equals its configured limit; discovery is down while clients connect."""
    state, sockets = tmp_path / "state", 96
    state.mkdir()
    async with Peer() as receiver, Platform() as platform:
        config_values = config_json(platform, host(receiver.dial))
        config_values["limits"] |= {"sockets": sockets}
        platform.server.close()
        config = tmp_path / "config.json"
        config.write_text(json.dumps(config_values))
        process = await launch(config, state, descriptor_limit=sockets)
        assert process.stderr is not None
        while not (
            match := re.search(rb"ready on (\S+):(\d+)", await with_timeout(process.stderr.readline()))
        ):
            assert process.returncode is None
        address = match[1].decode(), int(match[2])
        idle = [await asyncio.open_connection(*address) for _ in range(2 * sockets)]
        assert (await ask(address, message("m1"))).status == 202
        (await receiver.next()).answer(200)
        reopened_server = await asyncio.start_server(platform.serve, *platform.address)
        assert (await with_timeout(platform.watches.get())).target
        reopened_server.close()
        for _, writer in idle:
            writer.transport.abort()
        process.kill()
        await process.wait()


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"settings": {}}, "limits"),
        ({"listen": "here"}, "host:port"),
        ({"known": {"seq": 1, "whole": True, "hosts": [{"host": "r"}]}}, "dial"),
        ({"limits": {"sockets": 1024}}, "disk_mb"),
        ({"seed": 7}, "int"),
        ({"seed": "xyz"}, "xyz"),
        ("not json", "Expecting"),
        ("[]", "list"),
    ],
)
def test_invalid_configuration_is_reported_in_one_line(tmp_path: Path, change: Any, expected: str) -> None:  # noqa: ANN401
    async def test(_: Path) -> None:
        state = tmp_path / "state"
        state.mkdir()
        async with Platform() as platform:
            config_values = change if isinstance(change, str) else config_json(platform) | change
            process = await start(config_values, state)
            _, text = await with_timeout(process.communicate())
            assert process.returncode == 1
            assert len(text.splitlines()) == 1 and expected in text.decode()

    run_async_test(test)(tmp_path)


@run_async_test
async def test_missing_state_folder_is_reported_in_one_line(tmp_path: Path) -> None:
    async with Platform() as platform:
        process = await start(config_json(platform), tmp_path / "nowhere")
        _, text = await with_timeout(process.communicate())
        assert process.returncode == 1 and len(text.splitlines()) == 1 and b"nowhere" in text


@run_async_test
async def test_sighup_moves_discovery_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    state = tmp_path / "state"
    state.mkdir()
    async with Peer() as receiver, Platform() as old, Platform() as new:
        config_values = config_json(old, host(receiver.dial))
        async with running_process(config_values, state) as (process, address):
            await with_timeout(old.watches.get())
            (tmp_path / "config.json").write_text("{")
            process.send_signal(signal.SIGHUP)
            while b"configuration not reloaded: reason=" not in await with_timeout(process.stderr.readline()):
                assert process.returncode is None
            (tmp_path / "config.json").write_text(json.dumps(config_json(new, host(receiver.dial))))
            process.send_signal(signal.SIGHUP)
            assert (await new.next()).target == "/registry/instances"
            assert (await ask(address, message("m1"))).status == 202
            assert (await receiver.next()).id == "m1"
