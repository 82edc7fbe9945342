"""Bad clients send hundreds of requests at once; messages taken on must still get their end in time."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab import Call, Client, Lab, Receiver, Sent, run_case, service, settings, trouble

BAD_CLIENTS = 10
REQUESTS_AT_ONCE = 900  # "hundreds of requests at once"
FLOOD_S = 7.0
MESSAGES = 24
FULL = 3  # the destination whose receivers are above their limit


class Day:
    """A flood of requests that cannot be read, while messages that were taken on run out of time."""

    def __init__(self) -> None:
        """Creates the day's lab."""
        self.lab = Lab(settings([service("session-command", "by_key", serial_by_key=True)]))

    async def serve(self, call: Call) -> None:
        """Serves a call."""
        await asyncio.sleep(0.12)
        call.answer(200)

    async def turn_away(self, call: Call) -> None:
        """Turns a call away: above the limit, with and without the trouble."""
        call.answer(503)

    async def start_flood(self) -> asyncio.subprocess.Process:
        """Starts the bad clients."""
        self.lab.record.add("the bad clients begin")
        arguments = [str(self.lab.port), str(BAD_CLIENTS), str(REQUESTS_AT_ONCE), str(FLOOD_S)]
        program = str(Path(__file__).with_name("flood.py"))
        return await asyncio.create_subprocess_exec(
            sys.executable, "-B", program, *arguments, stdout=asyncio.subprocess.PIPE
        )

    async def run(self) -> list[str]:
        """Plays the day; returns what broke the rule."""
        lab = self.lab
        for number in range(8):
            plan = self.turn_away if number % 4 == FULL else self.serve
            receiver = Receiver(lab, f"s-{number}", number % 4, "hall-b", plan)
            lab.receivers[receiver.name] = receiver
            await receiver.start()
        await lab.platform.start()
        await lab.start_sender()
        clients = [Client(lab) for _ in range(6)]
        for number in range(MESSAGES):  # their time is up from 1.5 s to 6 s after this
            key, time_left = f"{number:016x}", 1.5 + 0.2 * number
            await lab.hand_in(clients[number % 6], "session-command", FULL, time_left, key)
        flood = await self.start_flood() if trouble() else None
        count = 0
        while lab.record.now() < FLOOD_S + 1:  # usual messages meanwhile, many of which are not taken on
            count += 1
            key = f"{100 + count % 6:016x}"
            await lab.hand_in(clients[count % 6], "session-command", count % 3, 4.0, key)
            await asyncio.sleep(0.1)
        if flood:
            output, _ = await flood.communicate()
            lab.record.add(output.decode().strip())
        await asyncio.sleep(5.5)
        lab.check_ends()
        return lab.faults + [self.describe(each) for each in lab.messages.values() if lab.lost(each)]

    def describe(self, message: Sent) -> str:
        """Describes a lost message in one line."""
        late = ", ".join(f"{at - message.until:+.3f} s {state}" for at, state in message.notices) or "none"
        reason = self.lab.lost(message)
        return f"lost: {message.id}: {reason}: time up at {message.until:.3f}, notices: {late}"


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
