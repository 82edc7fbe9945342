"""A sender that is killed around the completions of messages, and what platform and receivers saw."""

import asyncio
import json
from collections import defaultdict
from pathlib import Path
from typing import Any

from peers import CLASS, Peer, Request, config_json, host, message
from peers import Platform as Discovery
from sender_processes import Platform

#: Their messages are returned for room, may have run in their one attempt, and run out of time.
SERVICES = [
    CLASS | {"name": "crowded", "semantics": "once"},
    CLASS | {"name": "reset", "semantics": "once"},
    CLASS | {"name": "late", "semantics": "repeatable"},
]
CROWDED, RESET, DOWN = 3, 4, 5  # destinations
MESSAGES = {CROWDED: 12, RESET: 2, DOWN: 2}
MAX_MESSAGES = 6
SLOTS = 2
TIME_LEFT_S = 3.0
SHORT_TIME_LEFT_S = 0.5
SERVICE_TIME_S = 0.1
WAY_BACK_S = 0.01  # of the platform's answer to a notice
RUN_LIMIT_S = 30.0
SLACK_S = 0.35  # after its time, within which a message must be completed
READY_SLACK_S = 1.5  # after the next process is ready, before which nothing is overdue


class KillScenario:
    """One run: messages that end without a delivery, a kill at a given step, and the next process.

    Attributes:
        accepted: When the time of each accepted message is up, by its id.
        notices: When the platform read each notice, and its state, by message id.
        calls: When each call's last byte came, by message id.
        delivered: The messages whose call was answered 200.
        was_killed: Whether the process reached the step.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.accepted: dict[str, float] = {}
        self.notices: defaultdict[str, list[tuple[float, str]]] = defaultdict(list)
        self.calls: defaultdict[str, list[float]] = defaultdict(list)
        self.delivered: set[str] = set()
        self.was_killed = False
        self.is_restarted = False

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    async def read_notices(self, platform: Discovery) -> None:
        """Records notices when the platform reads them, and answers them later, until it is cancelled."""
        while True:
            request = await platform.requests.get()
            for line in request.body.decode().splitlines():
                notice = json.loads(line)
                self.notices[notice["id"]].append((self.now(), notice["state"]))
            asyncio.get_running_loop().call_later(WAY_BACK_S, request.answer, 204)

    async def serve(self, receiver: Peer, destination: int) -> None:
        """Serves the calls to one destination, until it is cancelled."""
        while True:
            request = await receiver.requests.get()
            self.calls[request.id].append(self.now())
            asyncio.get_running_loop().call_later(SERVICE_TIME_S, self.answer, request, destination)

    def answer(self, request: Request, destination: int) -> None:
        if destination == RESET and not self.is_restarted:
            request.abort()
        elif destination == DOWN and not self.is_restarted:
            request.answer(503)
        else:
            self.delivered.add(request.id)
            request.answer(200)

    def config(self, discovery: Discovery, receivers: dict[int, Peer]) -> dict[str, Any]:
        hosts = [host(each.dial, f"r{number}", block=number) for number, each in receivers.items()]
        config = config_json(discovery, *hosts)
        config["settings"] |= {"services": SERVICES, "fleet_size": 1}
        config["settings"]["specifics"] = config["settings"]["specifics"] | {"slots": SLOTS}
        config["settings"]["limits"] = config["settings"]["limits"] | {"max_open": MAX_MESSAGES}
        return config

    async def submit_all(self, platform: Platform) -> None:
        """Submits all messages; the sender may be killed meanwhile."""
        classes = {CROWDED: "crowded", RESET: "reset", DOWN: "late"}
        for destination in (RESET, DOWN, CROWDED):
            for number in range(MESSAGES[destination]):
                time_left_s = SHORT_TIME_LEFT_S if destination == DOWN else TIME_LEFT_S
                name = f"{classes[destination]}-{number}"
                request = message(
                    name,
                    X_Service_Class=classes[destination],
                    X_Time_Left=str(time_left_s),
                    X_Route_To=f"dest={destination}",
                )
                sent_at = self.now()
                try:
                    client = await platform.connect()
                    reply = await client.request(
                        request.replace(b"/c ", f"/{classes[destination]} ".encode())
                    )
                except (OSError, asyncio.IncompleteReadError):
                    return
                finally:
                    client.writer.close()
                if reply.status == 202:
                    self.accepted[name] = sent_at + time_left_s

    async def run(self, step: int) -> None:
        """Plays the run with a kill at this step."""
        state = self.folder / f"state-{step}"
        state.mkdir()
        async with Discovery() as discovery, Peer() as first, Peer() as second, Peer() as third:
            receivers = {CROWDED: first, RESET: second, DOWN: third}
            tasks = [asyncio.create_task(self.read_notices(discovery))]
            tasks += [asyncio.create_task(self.serve(peer, number)) for number, peer in receivers.items()]
            async with Platform(state, self.config(discovery, receivers)) as platform:
                await self.kill_and_restart(platform, step)
            for task in tasks:
                task.cancel()

    async def kill_and_restart(self, platform: Platform, step: int) -> None:
        process = await platform.start(fatal_step=step)
        submitting = asyncio.create_task(self.submit_all(platform))
        while process.process.returncode is None and not (submitting.done() and self.all_ended()):
            await asyncio.sleep(0.01)
        submitting.cancel()
        self.was_killed = process.process.returncode is not None
        if not self.was_killed:
            process.kill()
            await process.wait_for_exit()
        self.is_restarted = True
        await platform.start()
        overdue_at = max(self.now() + READY_SLACK_S, *self.accepted.values()) + SLACK_S
        while self.now() < overdue_at and not self.all_ended():
            await asyncio.sleep(0.02)
        await asyncio.sleep(3 * SERVICE_TIME_S)

    def all_ended(self) -> bool:
        return bool(self.accepted) and all(
            each in self.notices or each in self.delivered for each in self.accepted
        )

    def violations(self) -> list[str]:
        """Returns what contradicts an end that the platform knew of, and the messages without an end."""
        found = []
        for name in self.accepted:
            notices = self.notices.get(name, [])
            if not notices and name not in self.delivered:
                found.append(f"{name}: no end")
            if len({state for _, state in notices}) > 1:
                found.append(f"{name}: ended as {[state for _, state in notices]}")
            if notices and (late := [each for each in self.calls[name] if each > notices[0][0]]):
                found.append(f"{name}: {len(late)} calls after it had ended as {notices[0][1]}")
        return found


async def play(folder: Path, step: int) -> KillScenario:
    """Plays one run with a kill at this step."""
    scenario = KillScenario(folder)
    await asyncio.wait_for(scenario.run(step), RUN_LIMIT_S)
    return scenario
