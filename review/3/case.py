"""A sender under a burst is killed; messages that it has returned by notice must not be sent afterwards."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab import Call, Client, Lab, Receiver, Sent, run_case, service, settings, trouble

WAY_BACK_S = 0.04  # of the answer to a notice: "15 to 45 ms one way"
BUSY = 3  # the destination that gets more than it takes
DAY_S = 20.0
KILLS_AT_S = tuple(2.5 + 2.2 * number for number in range(8))
PAUSE_S = 0.2  # between two messages of a client; ten clients
BACKOFF_S = 1.2  # until a client hands a returned message in again


class Day:
    """A destination that gets more than it takes, and a sender that is killed outright a few times."""

    def __init__(self) -> None:
        """Creates the day's lab."""
        classes = [service("session-command", "once", aim=4_000_000, deadline=12_000_000)]
        self.lab = Lab(settings(classes, max_open=20))
        self.lab.platform.notice_plan = self.answer_notices
        self.lab.on_notice = self.notice_came
        self.repeats: dict[str, Sent] = {}  # by the id of the message that was returned

    async def answer_notices(self, _body: bytes) -> bool:
        """The platform answers at once; the answer is on its way for some time."""
        await asyncio.sleep(WAY_BACK_S)
        return True

    def notice_came(self, message: Sent, state: str) -> None:
        """A returned message is handed in again once, as a client does after a refusal."""
        if state == "returned" and not message.idempotency_key and len(message.notices) == 1:
            self.lab.clients.append(asyncio.create_task(self.repeat(message)))

    async def repeat(self, message: Sent) -> None:
        """Hands a returned message in again, under a new id and with its own key."""
        await asyncio.sleep(BACKOFF_S)
        if (time_left := message.until - self.lab.record.now()) > 1:
            client = Client(self.lab)
            self.repeats[message.id] = await self.lab.hand_in(
                client, "session-command", message.dest, time_left, idempotency_key=message.id * 2
            )
            client.close()

    async def serve(self, call: Call) -> None:
        """Serves a call."""
        await asyncio.sleep(0.3 if call.receiver.dest == BUSY else 0.12)
        call.answer(200)

    async def client(self, number: int) -> None:
        """A usual client with a steady stream of messages."""
        client = Client(self.lab)
        while self.lab.record.now() < DAY_S - 1:
            dest = BUSY if number < 8 else number % 3
            await self.lab.hand_in(client, "session-command", dest, 10.0)
            await asyncio.sleep(PAUSE_S)

    async def run(self) -> list[str]:
        """Plays the day; returns what broke the rule."""
        lab = self.lab
        for number in range(8):
            receiver = Receiver(lab, f"s-{number}", number % 4, "hall-b", self.serve)
            lab.receivers[receiver.name] = receiver
            await receiver.start()
        await lab.platform.start()
        await lab.start_sender()
        lab.clients += [asyncio.create_task(self.client(number)) for number in range(10)]
        for kill_at in KILLS_AT_S if trouble() else ():
            await asyncio.sleep(kill_at - lab.record.now())
            await lab.restart()
        await asyncio.sleep(DAY_S + 8 - lab.record.now())
        lab.check_ends()
        return lab.faults + [line for each in lab.messages.values() for line in self.calls_after_end(each)]

    def calls_after_end(self, message: Sent) -> list[str]:
        """The calls of a message after the platform had answered the notice that returned it."""
        ends = [at for at, state in message.notices if state == "returned"]
        if not ends:
            return []
        repeat = self.repeats.get(message.id)
        came_again = (
            f"handed in again as {repeat.id}, delivered at {repeat.delivered_at}" if repeat else "not"
        )
        return [
            f"ended: {message.id} returned at {ends[0]:.3f}, called at {call['at']:.3f}:"
            f" {call['receiver']} {call['outcome']}; {came_again}"
            for call in message.calls
            if call["at"] > ends[0] + 0.05
        ]


async def case() -> tuple[Lab, list[str]]:
    """Plays the day and ends all processes."""
    day = Day()
    try:
        breaks = await day.run()
    finally:
        await day.lab.close()
    return day.lab, breaks


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
