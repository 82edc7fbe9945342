"""Case 6: a receiver is cut off for some seconds while a repeat is being written to it."""

# Scripts of a review: their names say what their parts do.
# ruff: noqa: C901, D102, D103, D107

import asyncio
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lab2 import (
    Call,
    Client,
    CouldNotRunError,
    Discovery,
    Platform,
    Receiver,
    Record,
    run_case,
    settings,
)

WINDOW_S = 5.0  # dedup_window in the settings
LIMIT_SLACK_S = 0.05  # each time limit is 50 ms longer on sockets
CUT_S = 7.0  # within 6.1 to 18 s
WARM_UP_CALLS = 100  # one error in 100 calls is usual
BODY = bytes(range(256)) * 254  # 65,024 bytes, within 64 KiB
#: The path to the receivers: segments of 1,460 bytes, and little that is under way unread.
PATH = ((socket.SOL_SOCKET, socket.SO_RCVBUF, 2048), (socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460))


def queued_bytes(port: int) -> int:
    """Returns the bytes that the system holds on the way to a port: not yet sent, or not yet read."""
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, remote, state, queues, *_ = line.split()
        to_send, to_read = (int(each, 16) for each in queues.split(":"))
        if state == "01" and int(remote.split(":")[1], 16) == port:
            total += to_send
        if state == "01" and int(local.split(":")[1], 16) == port:
            total += to_read
    return total


class Hall:
    """The receivers of one hall: which keys they have run, and since when; repeats are dropped."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.runs: list[tuple[str, float, str]] = []
        self.first_sent: dict[str, float] = {}

    def run(self, call: Call) -> None:
        key = call.headers["idempotency-key"]
        now = self.record.now()
        first = self.first_sent.get(key)
        if first is not None and now <= first + WINDOW_S + LIMIT_SLACK_S:
            self.record.add(f"receiver {call.receiver.name} drops {call.id} as a repeat")
            return
        self.first_sent.setdefault(key, call.first_at)
        self.runs.append((call.id, now, call.receiver.name))
        self.record.add(f"receiver {call.receiver.name} runs {call.id}")


async def play(record: Record, has_trouble: bool) -> int:
    receivers = [Receiver(record, name, 3, "hall-a", "small-operator", 60.0) for name in ("s-1", "s-2")]
    busy = Receiver(record, "s-9", 5, "hall-a", "small-operator", 60.0)
    hall = Hall(record)
    failed: list[Call] = []

    async def behave(call: Call) -> None:
        hall.run(call)
        await asyncio.sleep(0.02)
        if len(call.body) == len(BODY) and not failed:
            failed.append(call)
            call.answer(500)
        else:
            call.answer(200)

    for each in (*receivers, busy):
        each.behave = behave
        await each.start(PATH)
    discovery = Discovery(record, [*receivers, busy])
    await discovery.start()
    platform = Platform(record, discovery, settings())
    try:
        await platform.start()
        client = Client(record, platform.port)
        for number in range(WARM_UP_CALLS):
            await client.hand_in(5, 20.0, key=f"{number:016x}")
            await asyncio.sleep(0.02)
        for number in range(2):  # one open connection to each receiver of destination 3
            await client.hand_in(3, 20.0, key=f"a{number:015x}")
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)  # connections rest
        # The second receiver is cut off as soon as the first has run the message and answered with an error.
        first, second = receivers
        if has_trouble:
            # The message is meant to go to s-1 first; the order of the warm-up decides, so either may be it.
            for each in receivers:
                other = second if each is first else first

                def cut_other(call: Call, other: Receiver = other) -> None:
                    if int(call.headers["content-length"]) == len(BODY) and not failed:
                        other.cut()

                each.head_came = cut_other
        message, status = await client.hand_in(3, 20.0, key="f" * 16, body=BODY)
        if status != 202:
            raise CouldNotRunError("the message was not taken on")
        await asyncio.sleep(1.0)
        if not failed:
            raise CouldNotRunError("the first call did not come")
        sent_at = failed[0].first_at
        cut = next((each for each in receivers if each.is_cut), None)
        if has_trouble and cut is None:
            raise CouldNotRunError("no receiver was cut off")
        await asyncio.sleep(max(sent_at + WINDOW_S + LIMIT_SLACK_S - record.now(), 0))
        if cut and cut.server:
            port = int(cut.entry["dial"].split(":")[1])
            read = sum(len(each.data) for each in cut.connections)
            queued = queued_bytes(port)
            unwritten = len(BODY) - read - queued
            record.add(
                f"the window is over: {cut.name} has read {read} bytes of a call of more than {len(BODY)},"
                f" the system holds {queued}, so {unwritten} or more are not written yet"
            )
            if unwritten <= 0:
                raise CouldNotRunError("the system took the whole call in time")
        await asyncio.sleep(max(sent_at + CUT_S - record.now(), 0))
        if cut:
            cut.heal()
        await asyncio.sleep(3.0)
        runs = [run for run in hall.runs if run[0] == message]
        for _, at, name in runs:
            record.add(f"{message} ran at {name}, {at - sent_at:.3f} s after it was first sent")
        return 1 if len(runs) > 1 else 0
    finally:
        await platform.close()


run_case(Path(__file__).resolve().parent, play)
