"""Some bad clients send bodies of 60 MB in small chunks; the sender must stay within its memory limit."""

import asyncio
import contextlib
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab import HOST, Call, Client, Lab, Receiver, run_case, service, settings, trouble

MEMORY_MB = 192  # the limit of the scored days
BAD_CLIENTS = 6
BODY_BYTES = 60_000_000  # "bodies of 60 MB"
CHUNK = b"1;x=" + b"a" * 12_000 + b"\r\nz\r\n"  # one byte of content, the rest is an extension
DAY_S = 8.0
TROUBLE_AT_S = 3.0


def resident_bytes(pid: int) -> int:
    """The memory that a process holds now."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
    return 0


async def watch_memory(lab: Lab, breaks: list[str]) -> None:
    """Kills the sender once it is over its memory limit, as the platform does."""
    process = lab.process
    assert process is not None
    peak = 0
    try:
        while process.returncode is None:
            used = resident_bytes(process.pid)
            if used > peak + 8_000_000:
                peak = used
                lab.record.add(f"memory {used / 1e6:.0f} MB")
            if used > MEMORY_MB * 2**20:
                breaks.append(f"crash: {used / 1e6:.0f} MB held, {MEMORY_MB} allowed: killed for memory")
                lab.record.add(breaks[-1])
                lab.expected_ends.add(process.pid)
                process.kill()
                return
            await asyncio.sleep(0.01)
    finally:
        lab.record.add(f"peak memory {peak / 1e6:.0f} MB")


async def send_huge_body(lab: Lab, number: int) -> None:
    """One bad client: a request whose body is 60 MB long on the wire. It reads what it is sent."""
    with contextlib.suppress(OSError, TimeoutError):
        reader, writer = await asyncio.open_connection(HOST, lab.port)
        head = "POST /session-command HTTP/1.1\r\nHost: app.svc\r\nX-Service-Class: session-command\r\n"
        writer.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
        sent = 0
        answer = asyncio.ensure_future(reader.read(200))
        try:
            while sent + 8 * len(CHUNK) <= BODY_BYTES and not answer.done():
                writer.write(CHUNK * 8)
                sent += 8 * len(CHUNK)
                await writer.drain()
            lab.record.add(f"bad client {number} sent {sent} bytes")
            lab.record.add(f"bad client {number} heard {(await asyncio.wait_for(answer, 6))[:40]!r}")
        finally:
            answer.cancel()
            writer.transport.abort()


async def usual_client(lab: Lab, number: int) -> None:
    """A usual client: some messages a second, for the whole day."""
    chance, client = random.Random(number), Client(lab)
    while lab.record.now() < DAY_S - 2:
        await lab.hand_in(client, "session-command", chance.randrange(4), 6.0, f"{number:016x}")
        await asyncio.sleep(chance.uniform(0.2, 0.4))


async def case() -> tuple[Lab, list[str]]:
    """Plays the day."""
    classes = [service("session-command", "by_key", serial_by_key=True)]
    lab = Lab(settings(classes), memory_mb=MEMORY_MB)
    breaks: list[str] = []

    async def serve(call: Call) -> None:
        await asyncio.sleep(0.12)
        call.answer(200)

    try:
        for number in range(8):
            receiver = Receiver(lab, f"s-{number}", number % 4, "hall-b", serve)
            lab.receivers[receiver.name] = receiver
            await receiver.start()
        await lab.platform.start()
        await lab.start_sender()
        watching = asyncio.create_task(watch_memory(lab, breaks))
        lab.clients += [asyncio.create_task(usual_client(lab, number)) for number in range(5)]
        await asyncio.sleep(TROUBLE_AT_S)
        if trouble():
            lab.clients += [asyncio.create_task(send_huge_body(lab, number)) for number in range(BAD_CLIENTS)]
        while lab.record.now() < DAY_S and not breaks:
            await asyncio.sleep(0.05)
            lab.check_ends()
        breaks += lab.faults
        if not breaks:
            breaks += [
                f"lost: {each.id}: {lab.lost(each)}" for each in lab.messages.values() if lab.lost(each)
            ]
        watching.cancel()
    finally:
        await lab.close()
    return lab, breaks


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
