"""Case 9: some answers of one destination never end; messages for another one wait for their notices."""

# Scripts of a review: their names say what their parts do.
# ruff: noqa: C901, D103

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lab2 import Call, Client, CouldNotRunError, Discovery, Platform, Receiver, Record, run_case, settings

NOTICE_LIMIT_S = 0.3 + 0.05  # after a message's time is up; each time limit is 50 ms longer on sockets
OWED = 18  # messages for a destination that takes calls and answers none
TRAFFIC_S = 6.0
PER_SECOND = 24  # messages for the other destination
SPOILT_OF = 3  # one answer in three is spoilt
HEAD = b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n"
PIECE = b"1\r\nx\r\n" * 10_000
OWN_LAG_LIMIT_S = 0.08  # of this script's loop: a post of notices has its answer well before it is given up


async def play(record: Record, has_trouble: bool) -> int:
    hanging = Receiver(record, "s-1", 3, "hall-a", "small-operator", 6.0)
    answering = Receiver(record, "s-2", 5, "hall-a", "small-operator", 60.0)
    spoilt: list[Call] = []

    async def hang(call: Call) -> None:
        await asyncio.Event().wait()

    async def answer(call: Call) -> None:
        await asyncio.sleep(0.1)
        if not has_trouble or len(answering.calls) % SPOILT_OF:
            call.answer(200)
            return
        spoilt.append(call)
        record.add(f"receiver s-2 answers 200 to {call.id}, and the body does not end")
        transport = call.connection.transport
        call.write(HEAD)
        while not transport.is_closing():  # at the pace at which the sender reads
            if transport.get_write_buffer_size() < len(PIECE):
                transport.write(PIECE)
            await asyncio.sleep(0.002)

    lags = [0.0]

    async def measure_lag() -> None:
        while True:
            due = record.now() + 0.005
            await asyncio.sleep(0.005)
            lags.append(record.now() - due)

    measuring = asyncio.create_task(measure_lag())
    hanging.behave, answering.behave = hang, answer
    for each in (hanging, answering):
        await each.start()
    discovery = Discovery(record, [hanging, answering])
    await discovery.start()
    platform = Platform(record, discovery, settings())
    try:
        await platform.start()
        client = Client(record, platform.port)
        owed = []
        for number in range(OWED):
            message, status = await client.hand_in(3, 2.0 + 0.2 * number)
            if status != 202:
                raise CouldNotRunError(f"{message} was answered {status}")
            owed.append(message)
        tasks = []
        for _ in range(int(TRAFFIC_S * PER_SECOND)):
            tasks.append(asyncio.create_task(client.hand_in(5, 5.0)))
            await asyncio.sleep(1 / PER_SECOND)
        await asyncio.gather(*tasks)
        await asyncio.sleep(4.0)
        late = 0
        for message in owed:
            due = client.taken[message] + NOTICE_LIMIT_S
            at = min((at for at, notice in discovery.notices if notice["id"] == message), default=None)
            late += at is None or at > due
            got = "no notice" if at is None else f"notice at {at:.3f}"
            record.add(f"{message} was due at {due:.3f}: {got}{' LATE' if at is None or at > due else ''}")
        measuring.cancel()
        record.add(f"{len(spoilt)} spoilt answers, {late} of {OWED} notices late; own lag {max(lags):.3f} s")
        if max(lags) > OWN_LAG_LIMIT_S:
            raise CouldNotRunError("this script's own loop was late")
        return 1 if late else 0
    finally:
        await platform.close()


run_case(Path(__file__).resolve().parent, play)
