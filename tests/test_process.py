"""The program as the platform starts it: SIGKILL, SIGTERM, and a bad configuration."""

import asyncio
import json
import os
import re
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from peers import READY, Peer, Platform, ask, config_json, host, message, play, soon

ROOT = Path(__file__).parent.parent


async def start(told: dict[str, Any] | str, state: Path) -> asyncio.subprocess.Process:
    config = state.parent / "config.json"
    config.write_text(told if isinstance(told, str) else json.dumps(told))
    return await launch(config, state)


async def launch(config: Path, state: Path) -> asyncio.subprocess.Process:
    environment = os.environ | {"BALANCER_CONFIG": str(config), "BALANCER_STATE": str(state)}
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "elmglade", cwd=ROOT, env=environment, stderr=asyncio.subprocess.PIPE
    )


@asynccontextmanager
async def running(told: dict[str, Any], state: Path) -> AsyncIterator[tuple[asyncio.subprocess.Process, Any]]:
    process = await start(told, state)
    try:
        assert process.stderr is not None
        while not (found := re.search(rb"ready on (\S+):(\d+)", await soon(process.stderr.readline()))):
            assert process.returncode is None
        yield process, (found[1].decode(), int(found[2]))
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


@play
async def test_sigkill_loses_nothing_that_was_taken_on(tmp_path: Path) -> None:
    state = tmp_path / "state"
    state.mkdir()
    async with Peer() as receiver, Platform() as platform:
        told = config_json(platform, host(receiver.dial))
        async with running(told, state) as (process, address):
            for name in ("m1", "m2", "m3"):
                assert (await ask(address, message(name))).status == 202
            (await receiver.next()).answer(200)
            await receiver.next()
            process.send_signal(signal.SIGKILL)
            await soon(process.wait())
        while not receiver.requests.empty():
            receiver.requests.get_nowait()
        async with running(told, state) as (process, address):
            assert (await ask(address, READY)).status == 200
            seen = set()
            while not {"m2", "m3"} <= seen:
                request = await receiver.next()
                seen.add(request.id)
                request.answer(200)


@play
async def test_sigterm_ends_the_process_well(tmp_path: Path) -> None:
    state = tmp_path / "state"
    state.mkdir()
    async with Platform() as platform, running(config_json(platform), state) as (process, _):
        process.send_signal(signal.SIGTERM)
        assert await soon(process.wait()) == 0


@play
async def test_a_hangup_while_the_configuration_is_read_is_heard_in_the_end(tmp_path: Path) -> None:
    """The configuration is a pipe: that somebody reads it is known, and it goes on when it is written."""
    state, pipe = tmp_path / "state", tmp_path / "config.json"
    state.mkdir()
    async with Platform() as old, Platform() as new:
        os.mkfifo(pipe)
        process = await launch(pipe, state)
        write = await soon(asyncio.to_thread(os.open, pipe, os.O_WRONLY))
        pipe.unlink()
        pipe.write_text(json.dumps(config_json(new)))
        process.send_signal(signal.SIGHUP)
        os.write(write, json.dumps(config_json(old)).encode())
        os.close(write)
        assert (await new.next()).target == "/registry/instances"
        process.send_signal(signal.SIGTERM)
        assert await soon(process.wait()) == 0


@pytest.mark.parametrize(
    ("change", "words"),
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
def test_a_bad_configuration_ends_in_one_plain_line(tmp_path: Path, change: Any, words: str) -> None:  # noqa: ANN401
    async def test(_: Path) -> None:
        state = tmp_path / "state"
        state.mkdir()
        async with Platform() as platform:
            told = change if isinstance(change, str) else config_json(platform) | change
            process = await start(told, state)
            _, text = await soon(process.communicate())
            assert process.returncode == 1
            assert len(text.splitlines()) == 1 and words in text.decode()

    play(test)(tmp_path)


@play
async def test_a_state_folder_that_is_not_there_ends_in_one_plain_line(tmp_path: Path) -> None:
    async with Platform() as platform:
        process = await start(config_json(platform), tmp_path / "nowhere")
        _, text = await soon(process.communicate())
        assert process.returncode == 1 and len(text.splitlines()) == 1 and b"nowhere" in text


@play
async def test_sighup_moves_discovery_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    state = tmp_path / "state"
    state.mkdir()
    async with Peer() as receiver, Platform() as old, Platform() as new:
        told = config_json(old, host(receiver.dial))
        async with running(told, state) as (process, address):
            await soon(old.watches.get())
            (tmp_path / "config.json").write_text("{")
            process.send_signal(signal.SIGHUP)
            while b"is not used" not in await soon(process.stderr.readline()):
                assert process.returncode is None
            (tmp_path / "config.json").write_text(json.dumps(config_json(new, host(receiver.dial))))
            process.send_signal(signal.SIGHUP)
            assert (await new.next()).target == "/registry/instances"
            assert (await ask(address, message("m1"))).status == 202
            assert (await receiver.next()).id == "m1"
