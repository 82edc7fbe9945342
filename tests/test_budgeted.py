"""Five processes of the sender that share a budget, and faults between them: the receiver's own count never
passes the whole."""

import asyncio
import json
import os
import random
import signal
import tempfile
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from message_sender.cli import fleet as command
from message_sender.control_socket import send_request
from message_sender.testbed.cluster import Cluster, Fault, MemberFactory, ReceiverStub, ThreadedReceiverStub
from message_sender.testbed.history import most_in

SEEDS = int(os.environ.get("BUDGET_SEEDS", "20"))
WHOLE, SPAN = 20, 0.5  # calls, s
RATE = int(WHOLE / SPAN)
#: s by which the time from a check to the receiver may differ while this machine is busy with other tests:
#: the sender's own slack of 10 ms is for the way alone.
SLACK = 0.15
FAULTS_END = 3.0  # s
MORE = """
[limits]
max_open = 400
max_attempts = 50
slots = {slots}

[rules]
cold_ms = 1000

[classes.safe]
aim_ms = 1000
deadline_ms = 30000
effect = "safe"

[[budgets]]
name = "hub"
lease_ms = 300
floor = {floor}
"""
CALLS = f'destination = 1\nof = "calls"\nwhole = {WHOLE}\nper_ms = {SPAN * 1000}\n'
OUT = 'destination = 1\nof = "in_flight"\nwhole = 6\nheld_ms = 500\n'


def configuration(budget: str, hub: ReceiverStub, floor: int = 1, slots: int = 64) -> str:
    return MORE.format(floor=floor, slots=slots) + budget + hub.listed()


def drawn(seed: int) -> list[Fault]:
    """Two or three troubles, of which all are over by FAULTS_END."""
    rng, plan = random.Random(f"budget {seed}"), list[Fault]()
    names = [f"n{number}" for number in range(5)]
    for at in sorted(rng.uniform(0, FAULTS_END - 2) for _ in range(rng.randint(2, 3))):
        some = tuple(rng.sample(names, rng.randint(1, 3)))
        rest = tuple(name for name in names if name not in some)
        later = at + rng.uniform(0.5, 1.5)
        sides = (" ".join(some), " ".join(rest))
        plan += rng.choice(
            [
                [Fault(at, "kill", some), Fault(later, "start", some)],
                [Fault(at, "kill", some), Fault(at + 0.02, "lose_disk", some), Fault(later, "start", some)],
                [Fault(at, "stop", some), Fault(later, "wake", some)],
                [Fault(at, "cut"), Fault(at + 0.1, "start")],
                [Fault(at, "split", sides)],
            ]
        )
    ends = [Fault(FAULTS_END, what, names) for what, names in (("wake", ()), ("start", ()), ("heal", ()))]
    return plan + ends


async def feed(cluster: Cluster, count: int) -> None:
    """As many at each; one that is down gets none."""
    for number in range(count):
        names = [(f"{name}-{number}", name) for name in cluster.members]
        await asyncio.gather(*(cluster.hand_in(each, "safe", 1, 30, to=[name]) for each, name in names))


async def life(folder: Path, seed: int, nursery: MemberFactory) -> str:
    rng = random.Random(f"link {seed}")
    cluster = Cluster(folder, 5, seed, "group", nursery=nursery)
    async with ThreadedReceiverStub("hub", cluster.history, 1e9) as hub:
        cluster.more = configuration(CALLS, hub, floor=rng.choice([0, 1]))
        async with cluster:
            await cluster.start()
            cluster.relay.loss, cluster.relay.delay = rng.choice([(0.0, 0.0), (0.2, 0.02), (0.05, 1.0)])
            await feed(cluster, 60)
            await cluster.run(drawn(seed))
            sent = len(hub.calls)
            # Nothing lasts for longer: promises, leases, what was spent, and a return from the power loss.
            await cluster.until(lambda: len(hub.calls) > sent + 2 * WHOLE or nothing_is_held(cluster))
            most = hub.most_in(SPAN - SLACK)
            return f"seed {seed}: {most} in {SPAN - SLACK} s" if most > WHOLE else ""


def nothing_is_held(cluster: Cluster) -> bool:
    told = [send_request(each.state, {"do": "fleet"})["value"] for each in cluster.members.values()]
    return not any(x["members"][name]["owed"] for x, name in zip(told, cluster.members, strict=True))


def test_faults_from_twenty_seeds_never_pass_the_whole(tmp_path: Path) -> None:
    async def play() -> list[str]:
        turns = asyncio.Semaphore(10)

        async def one(seed: int) -> str:
            async with turns:
                return await life(tmp_path / str(seed), seed, nursery)

        async with MemberFactory() as nursery:
            return [each for each in await asyncio.gather(*map(one, range(SEEDS))) if each]

    assert asyncio.run(play()) == []


Act = Callable[[Cluster, ReceiverStub], Any]


async def up(act: Act, budget: str, floor: int, rate: float, nursery: MemberFactory | None = None) -> None:
    """A fleet that is up, with a hub that notes what comes."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), 3, 1, "none", nursery=nursery)
        async with ThreadedReceiverStub("hub", cluster.history, rate) as hub:
            cluster.more = configuration(budget, hub, floor)
            async with cluster:
                await cluster.start()
                await act(cluster, hub)


def played(act: Act, budget: str = CALLS, floor: int = 0, rate: float = 1e9) -> None:
    asyncio.run(up(act, budget, floor, rate))


def part(cluster: Cluster, name: str) -> dict[str, Any]:
    found: dict[str, Any] = send_request(cluster.members[name].state, {"do": "budgets"})["value"]["hub"]
    return found


def test_who_stood_still_with_a_full_part_spends_nothing_of_it_when_it_wakes() -> None:
    async def act(cluster: Cluster, hub: ReceiverStub) -> None:
        for number in range(60):
            await cluster.hand_in(f"m{number}", "safe", 1, 30, to=["n0"])
        await cluster.until(lambda: part(cluster, "n0")["part"] >= WHOLE - 1)
        await cluster.stop("n0")
        for number in range(60):
            await cluster.hand_in(f"l{number}", "safe", 1, 30, to=["n1"])
        await cluster.until(lambda: part(cluster, "n1")["part"] >= WHOLE - 1)
        await cluster.wake("n0")
        await cluster.until(lambda: len(hub.ran) == 120)
        assert hub.most_in(SPAN - SLACK) <= WHOLE

    played(act)


def test_things_that_are_held_at_once_stay_within_the_whole() -> None:
    async def act(cluster: Cluster, hub: ReceiverStub) -> None:
        hub.takes = 0.2
        await feed(cluster, 20)
        await cluster.until(lambda: len(hub.ran) >= 20)
        await cluster.kill("n0")
        await cluster.until(lambda: len(hub.ran) >= 40)
        assert 4 <= hub.most_in(hub.takes) <= 6 + 1, (
            "one of them may have been answered and not yet be seen here"
        )

    played(act, OUT)


async def halved(was: str, to: str, cluster: Cluster, hub: ReceiverStub) -> None:
    """By a reload of all, while all is out."""
    await feed(cluster, 30)
    await cluster.until(lambda: len(hub.calls) > WHOLE)
    for each in cluster.members.values():
        file = each.folder / "config.toml"
        file.write_text(file.read_text().replace(was, to))
        cluster.signal(each, signal.SIGHUP)
    told = f"the whole is {WHOLE // 2} from now on"
    await cluster.until(lambda: all(told in str(part(cluster, name)) for name in cluster.members))
    within = 2 * 0.3 + SPAN  # two leases, and a span
    await cluster.until(
        lambda: sum(part(cluster, name)["part"] for name in cluster.members) <= WHOLE // 2, within
    )
    hub.calls.clear()
    await cluster.until(lambda: all_ran(cluster, hub))
    assert WHOLE // 4 < hub.most_in(SPAN - SLACK) <= WHOLE // 2


def test_without_a_budget_the_same_work_passes_the_whole() -> None:
    async def act(cluster: Cluster, hub: ReceiverStub) -> None:
        await feed(cluster, 20)
        await cluster.until(lambda: len(hub.ran) == 60)
        assert hub.most_in(SPAN - SLACK) > WHOLE

    played(act, CALLS.replace(str(WHOLE), "1000"))


def test_people_see_who_has_what_and_why() -> None:
    async def act(cluster: Cluster, hub: ReceiverStub) -> None:
        await feed(cluster, 60)
        await cluster.until(lambda: any("from 0 to" in text for _, text in part(cluster, "n1")["changes"]))
        state = str(cluster.members["n1"].state)
        run = CliRunner().invoke
        told = json.loads(run(command.fleet, ["budgets", state, "--json"]).output)[state]["hub"]
        assert told["whole"] == WHOLE and told["keeper"] in cluster.members
        shown = run(command.fleet, ["budgets", state]).output
        assert f"hub: {WHOLE} calls in 500 ms" in shown and f"kept by {told['keeper']}" in shown
        why = run(command.fleet, ["explain", "hub", state]).output
        assert "from 0 to" in why and "needed" in why
        assert "no budget named other" in run(command.fleet, ["explain", "other", state]).output
        states = [str(each.state) for each in cluster.members.values()]
        drawn_to = cluster.members["n1"].folder / "hub.svg"
        said = await asyncio.to_thread(
            run, command.fleet, ["chart", "hub", *states, "--to", str(drawn_to), "--seconds", "1"]
        )
        assert "samples of 3 senders" in said.output, said.output
        shown = drawn_to.read_text()
        assert all(text in shown for text in ("n0", "n2", "the whole", "spent in 0.5 s"))

    played(act)


def test_a_tenant_has_its_share_over_all_doors() -> None:
    async def act(cluster: Cluster, hub: ReceiverStub) -> None:
        await cluster.until(lambda: all(part(cluster, name)["keeper"] for name in cluster.members))
        taken = list[float]()
        loop = asyncio.get_running_loop()
        began = loop.time()
        while loop.time() < began + 3:
            for name in cluster.members:
                if await cluster.hand_in(f"{name}-{loop.time()}", "safe", 1, 30, to=[name], tenant="acme"):
                    taken.append(loop.time())
        assert most_in(taken, SPAN - SLACK) <= WHOLE
        assert len(taken) > WHOLE * 2

    told = f'of = "tenant"\ntenant = "acme"\nwhole = {WHOLE}\nper_ms = 500\n'
    played(act, told)


RATED = "whole = 4\nper_ms = 500\n"


def all_ran(cluster: Cluster, hub: ReceiverStub) -> bool:
    return len(hub.ran) == len(cluster.accepted)


async def trials(cluster: Cluster, hub: ReceiverStub) -> None:
    """Each of three finds the hub out of order; from there on it is tried by one at a time."""
    hub.fails = 0.25
    await feed(cluster, 8)
    names = list(cluster.members)
    await cluster.until(lambda: any("from 1 to 0" in str(budget_of(cluster, name)) for name in names))
    before = len(hub.calls)
    await cluster.until(lambda: len(hub.calls) >= before + 3)
    assert most_in(hub.calls[before:], hub.fails - 0.05) == 1
    hub.fails = 0.0
    await cluster.until(lambda: all_ran(cluster, hub))


def budget_of(cluster: Cluster, name: str) -> dict[str, Any]:
    return dict(send_request(cluster.members[name].state, {"do": "budgets"})["value"])


async def repeats(cluster: Cluster, hub: ReceiverStub) -> None:
    hub.fails = 0.001
    await feed(cluster, 10)
    await cluster.until(lambda: len(hub.again) >= 12)
    hub.fails = 0.0
    await feed(cluster, 14)
    await cluster.until(lambda: all_ran(cluster, hub))
    assert most_in(hub.again, SPAN - SLACK) <= 4


async def earned(cluster: Cluster, hub: ReceiverStub) -> None:
    """A repeat for two first attempts of the same two seconds, whoever made them."""
    hub.fails = 0.001
    await feed(cluster, 8)
    await cluster.until(lambda: len(hub.again) >= 8)
    for at in hub.again:
        repeats = sum(at - 2 + SLACK < each <= at for each in hub.again)
        firsts = sum(at - 2 - SLACK < each <= at + SLACK for each in hub.calls) - repeats
        assert 0 < repeats <= firsts / 2 + 3, "and one of each member's, in any case"


async def handshakes(cluster: Cluster, hub: ReceiverStub) -> None:
    hub.more = "Connection: close\r\n"
    await feed(cluster, 8)
    await cluster.until(lambda: all_ran(cluster, hub))
    assert 3 <= most_in(hub.opened, SPAN - SLACK) <= 4 and len(hub.opened) >= 24


async def connections(cluster: Cluster, hub: ReceiverStub) -> None:
    """Three for three members with work for many; who has none gives its kept ones up."""
    hub.takes = 0.05
    await feed(cluster, 30)
    await cluster.until(lambda: all_ran(cluster, hub))
    assert hub.most_open <= 3
    for number in range(20):
        await cluster.hand_in(f"late-{number}", "safe", 1, 30, to=["n2"])
    await cluster.until(lambda: all_ran(cluster, hub))
    assert hub.most_open <= 3 < len(hub.opened), "each is retired in its time"


async def told_by_answers(cluster: Cluster, hub: ReceiverStub) -> None:
    """Its list says nothing of use; the first answers tell ten calls in a second."""
    hub.more = 'RateLimit-Policy: "burst";q=10;w=1\r\n'
    await feed(cluster, 4)
    await cluster.until(lambda: all(part(cluster, name)["whole"] == 5 for name in cluster.members))
    before = len(hub.calls)
    await feed(cluster, 16)
    await cluster.until(lambda: all_ran(cluster, hub))
    assert 4 <= most_in(hub.calls[before:], SPAN - SLACK) <= 5


TOLD = 'destination = 1\nof = "calls"\nwhole = "told"\nper_ms = 500\n'
KINDS: dict[str, tuple[Act, str, float]] = {
    "told, halved": (partial(halved, f"rate = {RATE}", f"rate = {RATE // 2}"), TOLD, RATE),
    "halved": (partial(halved, f"whole = {WHOLE}", f"whole = {WHOLE // 2}"), CALLS, 1e9),
    "trials": (trials, 'destination = "each"\nof = "trials"\nwhole = 1\nheld_ms = 1000\n', 1e9),
    "repeats": (repeats, f'zone = "a"\nof = "repeats"\n{RATED}', 1e9),
    "earned repeats": (earned, 'destination = 1\nof = "repeats"\nshare = 0.5\nper_ms = 2000\n', 1e9),
    "handshakes": (handshakes, f'endpoint = "hub"\nof = "handshakes"\n{RATED}', 1e9),
    "connections": (connections, 'endpoint = "each"\nof = "connections"\nwhole = 3\nheld_ms = 3000\n', 1e9),
    "told by answers": (told_by_answers, TOLD, 40),
}


def test_three_processes_keep_to_what_is_shared_whatever_it_is() -> None:
    """A fleet for each kind, all at once."""

    async def play() -> list[BaseException | None]:
        async with MemberFactory() as nursery:
            lives = (up(act, told, 0, rate, nursery) for act, told, rate in KINDS.values())
            return await asyncio.gather(*lives, return_exceptions=True)

    found = dict(zip(KINDS, asyncio.run(play()), strict=True))
    assert not {name: repr(each) for name, each in found.items() if each}
