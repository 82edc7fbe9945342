"""Sender processes that share a budget, with faults: the calls that the receiver counts stay in the limit."""

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
from message_sender.testbed.cluster import Cluster
from message_sender.testbed.faults import Fault
from message_sender.testbed.history import max_count_within
from message_sender.testbed.member_factory import MemberFactory
from message_sender.testbed.receiver_stub import ReceiverStub, ThreadedReceiverStub

SEEDS = int(os.environ.get("BUDGET_SEEDS", "20"))
LIMIT, WINDOW_S = 20, 0.5  # calls, seconds
RATE = int(LIMIT / WINDOW_S)
#: The time between a sender's check and the receiver may differ by this many seconds between calls while the
#: machine is busy with other tests; the sender's own slack of 10 ms covers the transit time only.
SLACK_S = 0.15
FAULTS_END_S = 3.0
EXTRA_CONFIG = """
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
CALLS = f'destination = 1\nof = "calls"\nwhole = {LIMIT}\nper_ms = {WINDOW_S * 1000}\n'
IN_FLIGHT = 'destination = 1\nof = "in_flight"\nwhole = 6\nheld_ms = 500\n'


def configuration(budget: str, hub: ReceiverStub, floor: int = 1, slots: int = 64) -> str:
    return EXTRA_CONFIG.format(floor=floor, slots=slots) + budget + hub.to_config()


def draw_faults(seed: int) -> list[Fault]:
    """Returns two or three random faults, all of which have ended by FAULTS_END_S."""
    rng, faults = random.Random(f"budget {seed}"), list[Fault]()
    names = [f"n{number}" for number in range(5)]
    for at in sorted(rng.uniform(0, FAULTS_END_S - 2) for _ in range(rng.randint(2, 3))):
        affected = tuple(rng.sample(names, rng.randint(1, 3)))
        others = tuple(name for name in names if name not in affected)
        end = at + rng.uniform(0.5, 1.5)
        partitions = (" ".join(affected), " ".join(others))
        faults += rng.choice(
            [
                [Fault(at, "kill", affected), Fault(end, "start", affected)],
                [
                    Fault(at, "kill", affected),
                    Fault(at + 0.02, "lose_disk", affected),
                    Fault(end, "start", affected),
                ],
                [Fault(at, "stop", affected), Fault(end, "wake", affected)],
                [Fault(at, "cut"), Fault(at + 0.1, "start")],
                [Fault(at, "split", partitions)],
            ]
        )
    ends = [Fault(FAULTS_END_S, kind, names) for kind, names in (("wake", ()), ("start", ()), ("heal", ()))]
    return faults + ends


async def submit_to_each(cluster: Cluster, count: int) -> None:
    """Submits `count` messages to each member; a member that is down accepts none."""
    for number in range(count):
        names = [(f"{name}-{number}", name) for name in cluster.members]
        await asyncio.gather(*(cluster.submit(each, "safe", 1, 30, to=[name]) for each, name in names))


async def run_with_faults(folder: Path, seed: int, member_factory: MemberFactory) -> str:
    """Returns the violation that a fleet with random faults causes; empty: none."""
    rng = random.Random(f"link {seed}")
    cluster = Cluster(folder, 5, seed, "group", member_factory=member_factory)
    async with ThreadedReceiverStub("hub", cluster.history, 1e9) as hub:
        cluster.extra_config = configuration(CALLS, hub, floor=rng.choice([0, 1]))
        async with cluster:
            await cluster.start()
            cluster.relay.loss, cluster.relay.delay = rng.choice([(0.0, 0.0), (0.2, 0.02), (0.05, 1.0)])
            await submit_to_each(cluster, 60)
            await cluster.run(draw_faults(seed))
            calls_before = len(hub.call_times)
            # By then promises, leases, spent units and the recovery from the power loss have all ended.
            await cluster.wait_until(
                lambda: len(hub.call_times) > calls_before + 2 * LIMIT or nothing_is_pending(cluster)
            )
            max_calls = hub.max_count_within(WINDOW_S - SLACK_S)
            return f"seed {seed}: {max_calls} in {WINDOW_S - SLACK_S} s" if max_calls > LIMIT else ""


def nothing_is_pending(cluster: Cluster) -> bool:
    """Returns whether no member owes a message."""
    states = [send_request(each.state, {"do": "fleet"})["value"] for each in cluster.members.values()]
    return not any(
        state["members"][name]["owed"] for state, name in zip(states, cluster.members, strict=True)
    )


def test_usage_stays_within_the_limit_through_random_faults(tmp_path: Path) -> None:
    async def find_violations() -> list[str]:
        concurrent_runs = asyncio.Semaphore(10)

        async def run_seed(seed: int) -> str:
            async with concurrent_runs:
                return await run_with_faults(tmp_path / str(seed), seed, member_factory)

        async with MemberFactory() as member_factory:
            return [each for each in await asyncio.gather(*map(run_seed, range(SEEDS))) if each]

    assert asyncio.run(find_violations()) == []


Scenario = Callable[[Cluster, ReceiverStub], Any]


async def run_scenario(
    scenario: Scenario, budget: str, floor: int, rate: float, member_factory: MemberFactory | None = None
) -> None:
    """Runs a scenario on a started fleet of three, with a hub that records its calls."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), 3, 1, "none", member_factory=member_factory)
        async with ThreadedReceiverStub("hub", cluster.history, rate) as hub:
            cluster.extra_config = configuration(budget, hub, floor)
            async with cluster:
                await cluster.start()
                await scenario(cluster, hub)


def run_fleet(scenario: Scenario, budget: str = CALLS, floor: int = 0, rate: float = 1e9) -> None:
    asyncio.run(run_scenario(scenario, budget, floor, rate))


def hub_status(cluster: Cluster, name: str) -> dict[str, Any]:
    """Returns the status of the hub's budget at a member."""
    status: dict[str, Any] = send_request(cluster.members[name].state, {"do": "budgets"})["value"]["hub"]
    return status


def test_a_paused_member_spends_nothing_of_an_expired_lease() -> None:
    async def scenario(cluster: Cluster, hub: ReceiverStub) -> None:
        for number in range(60):
            await cluster.submit(f"m{number}", "safe", 1, 30, to=["n0"])
        await cluster.wait_until(lambda: hub_status(cluster, "n0")["part"] >= LIMIT - 1)
        await cluster.stop("n0")
        for number in range(60):
            await cluster.submit(f"l{number}", "safe", 1, 30, to=["n1"])
        await cluster.wait_until(lambda: hub_status(cluster, "n1")["part"] >= LIMIT - 1)
        await cluster.wake("n0")
        await cluster.wait_until(lambda: len(hub.served_at) == 120)
        assert hub.max_count_within(WINDOW_S - SLACK_S) <= LIMIT

    run_fleet(scenario)


def test_concurrent_calls_stay_within_the_limit() -> None:
    async def scenario(cluster: Cluster, hub: ReceiverStub) -> None:
        hub.response_delay = 0.2
        await submit_to_each(cluster, 20)
        await cluster.wait_until(lambda: len(hub.served_at) >= 20)
        await cluster.kill("n0")
        await cluster.wait_until(lambda: len(hub.served_at) >= 40)
        assert 4 <= hub.max_count_within(hub.response_delay) <= 6 + 1, (
            "the response to one of the calls may not have been counted yet"
        )

    run_fleet(scenario, IN_FLIGHT)


async def halve_limit(old_text: str, new_text: str, cluster: Cluster, hub: ReceiverStub) -> None:
    """Halves the limit while all of it is in use, by a reload of each member's configuration."""
    await submit_to_each(cluster, 30)
    await cluster.wait_until(lambda: len(hub.call_times) > LIMIT)
    for each in cluster.members.values():
        file = each.folder / "config.toml"
        file.write_text(file.read_text().replace(old_text, new_text))
        cluster.signal(each, signal.SIGHUP)
    change = f"the whole is {LIMIT // 2} from now on"
    await cluster.wait_until(
        lambda: all(change in str(hub_status(cluster, name)) for name in cluster.members)
    )
    timeout_s = 2 * 0.3 + WINDOW_S  # two leases and a window
    await cluster.wait_until(
        lambda: sum(hub_status(cluster, name)["part"] for name in cluster.members) <= LIMIT // 2, timeout_s
    )
    hub.call_times.clear()
    await cluster.wait_until(lambda: all_ran(cluster, hub))
    assert LIMIT // 4 < hub.max_count_within(WINDOW_S - SLACK_S) <= LIMIT // 2


def test_without_a_budget_the_same_load_exceeds_the_limit() -> None:
    async def scenario(cluster: Cluster, hub: ReceiverStub) -> None:
        await submit_to_each(cluster, 20)
        await cluster.wait_until(lambda: len(hub.served_at) == 60)
        assert hub.max_count_within(WINDOW_S - SLACK_S) > LIMIT

    run_fleet(scenario, CALLS.replace(str(LIMIT), "1000"))


def test_operators_see_each_share_and_its_reason() -> None:
    async def scenario(cluster: Cluster, hub: ReceiverStub) -> None:
        await submit_to_each(cluster, 60)
        await cluster.wait_until(
            lambda: any("from 0 to" in text for _, text in hub_status(cluster, "n1")["changes"])
        )
        state = str(cluster.members["n1"].state)
        run = CliRunner().invoke
        status = json.loads(run(command.fleet, ["budgets", state, "--json"]).output)[state]["hub"]
        assert status["whole"] == LIMIT and status["keeper"] in cluster.members
        shown = run(command.fleet, ["budgets", state]).output
        assert f"hub: {LIMIT} calls in 500 ms" in shown and f"granted by {status['keeper']}" in shown
        explanation = run(command.fleet, ["explain", "hub", state]).output
        assert "from 0 to" in explanation and "needed" in explanation
        assert "no budget named other" in run(command.fleet, ["explain", "other", state]).output
        states = [str(each.state) for each in cluster.members.values()]
        chart_file = cluster.members["n1"].folder / "hub.svg"
        chart = await asyncio.to_thread(
            run, command.fleet, ["chart", "hub", *states, "--to", str(chart_file), "--seconds", "1"]
        )
        assert "samples of 3 senders" in chart.output, chart.output
        shown = chart_file.read_text()
        assert all(text in shown for text in ("n0", "n2", "the whole", "spent in 0.5 s"))

    run_fleet(scenario)


def test_a_tenants_quota_applies_to_the_whole_fleet() -> None:
    async def scenario(cluster: Cluster, hub: ReceiverStub) -> None:
        await cluster.wait_until(lambda: all(hub_status(cluster, name)["keeper"] for name in cluster.members))
        accepted_at = list[float]()
        loop = asyncio.get_running_loop()
        began = loop.time()
        while loop.time() < began + 3:
            for name in cluster.members:
                if await cluster.submit(f"{name}-{loop.time()}", "safe", 1, 30, to=[name], tenant="acme"):
                    accepted_at.append(loop.time())
        assert max_count_within(accepted_at, WINDOW_S - SLACK_S) <= LIMIT
        assert len(accepted_at) > LIMIT * 2

    tenant_budget = f'of = "tenant"\ntenant = "acme"\nwhole = {LIMIT}\nper_ms = 500\n'
    run_fleet(scenario, tenant_budget)


RATE_OF_FOUR = "whole = 4\nper_ms = 500\n"


def all_ran(cluster: Cluster, hub: ReceiverStub) -> bool:
    """Returns whether the hub has served all accepted messages."""
    return len(hub.served_at) == len(cluster.accepted_by)


async def trials(cluster: Cluster, hub: ReceiverStub) -> None:
    """Each of three members opens its breaker; from then on only one at a time makes a trial of the hub."""
    hub.failure_delay = 0.25
    await submit_to_each(cluster, 8)
    names = list(cluster.members)
    await cluster.wait_until(lambda: any("from 1 to 0" in str(budgets_of(cluster, name)) for name in names))
    before = len(hub.call_times)
    await cluster.wait_until(lambda: len(hub.call_times) >= before + 3)
    assert max_count_within(hub.call_times[before:], hub.failure_delay - 0.05) == 1
    hub.failure_delay = 0.0
    await cluster.wait_until(lambda: all_ran(cluster, hub))


def budgets_of(cluster: Cluster, name: str) -> dict[str, Any]:
    """Returns the status of all budgets of a member."""
    return dict(send_request(cluster.members[name].state, {"do": "budgets"})["value"])


async def retries(cluster: Cluster, hub: ReceiverStub) -> None:
    hub.failure_delay = 0.001
    await submit_to_each(cluster, 10)
    await cluster.wait_until(lambda: len(hub.repeat_times) >= 12)
    hub.failure_delay = 0.0
    await submit_to_each(cluster, 14)
    await cluster.wait_until(lambda: all_ran(cluster, hub))
    assert max_count_within(hub.repeat_times, WINDOW_S - SLACK_S) <= 4


async def allowed_retries(cluster: Cluster, hub: ReceiverStub) -> None:
    """The retries of all members are at most half of the first attempts within the same two seconds."""
    hub.failure_delay = 0.001
    await submit_to_each(cluster, 8)
    await cluster.wait_until(lambda: len(hub.repeat_times) >= 8)
    for at in hub.repeat_times:
        retried = sum(at - 2 + SLACK_S < each <= at for each in hub.repeat_times)
        first_attempts = sum(at - 2 - SLACK_S < each <= at + SLACK_S for each in hub.call_times) - retried
        assert 0 < retried <= first_attempts / 2 + 3, "each member may make one retry in any case"


async def handshakes(cluster: Cluster, hub: ReceiverStub) -> None:
    hub.extra_fields = "Connection: close\r\n"
    await submit_to_each(cluster, 8)
    await cluster.wait_until(lambda: all_ran(cluster, hub))
    assert 3 <= max_count_within(hub.connected_at, WINDOW_S - SLACK_S) <= 4 and len(hub.connected_at) >= 24


async def connections(cluster: Cluster, hub: ReceiverStub) -> None:
    """Three members that need more connections share three; an idle member closes its own."""
    hub.response_delay = 0.05
    await submit_to_each(cluster, 30)
    await cluster.wait_until(lambda: all_ran(cluster, hub))
    assert hub.max_open <= 3
    for number in range(20):
        await cluster.submit(f"late-{number}", "safe", 1, 30, to=["n2"])
    await cluster.wait_until(lambda: all_ran(cluster, hub))
    assert hub.max_open <= 3 < len(hub.connected_at), "each connection is closed at its maximum age"


async def announced_by_responses(cluster: Cluster, hub: ReceiverStub) -> None:
    """The first responses announce ten calls per second, which replaces the rate in the endpoint list."""
    hub.extra_fields = 'RateLimit-Policy: "burst";q=10;w=1\r\n'
    await submit_to_each(cluster, 4)
    await cluster.wait_until(lambda: all(hub_status(cluster, name)["whole"] == 5 for name in cluster.members))
    before = len(hub.call_times)
    await submit_to_each(cluster, 16)
    await cluster.wait_until(lambda: all_ran(cluster, hub))
    assert 4 <= max_count_within(hub.call_times[before:], WINDOW_S - SLACK_S) <= 5


ANNOUNCED = 'destination = 1\nof = "calls"\nwhole = "told"\nper_ms = 500\n'
KINDS: dict[str, tuple[Scenario, str, float]] = {
    "announced, halved": (partial(halve_limit, f"rate = {RATE}", f"rate = {RATE // 2}"), ANNOUNCED, RATE),
    "halved": (partial(halve_limit, f"whole = {LIMIT}", f"whole = {LIMIT // 2}"), CALLS, 1e9),
    "trials": (trials, 'destination = "each"\nof = "trials"\nwhole = 1\nheld_ms = 1000\n', 1e9),
    "retries": (retries, f'zone = "a"\nof = "repeats"\n{RATE_OF_FOUR}', 1e9),
    "allowed retries": (
        allowed_retries,
        'destination = 1\nof = "repeats"\nshare = 0.5\nper_ms = 2000\n',
        1e9,
    ),
    "handshakes": (handshakes, f'endpoint = "hub"\nof = "handshakes"\n{RATE_OF_FOUR}', 1e9),
    "connections": (connections, 'endpoint = "each"\nof = "connections"\nwhole = 3\nheld_ms = 3000\n', 1e9),
    "announced by responses": (announced_by_responses, ANNOUNCED, 40),
}


def test_three_processes_respect_each_kind_of_budget() -> None:
    """Runs a fleet for each kind, all of them concurrently."""

    async def run_all() -> list[BaseException | None]:
        async with MemberFactory() as member_factory:
            runs = (
                run_scenario(scenario, budget, 0, rate, member_factory)
                for scenario, budget, rate in KINDS.values()
            )
            return await asyncio.gather(*runs, return_exceptions=True)

    errors = dict(zip(KINDS, asyncio.run(run_all()), strict=True))
    assert not {name: repr(each) for name, each in errors.items() if each}
