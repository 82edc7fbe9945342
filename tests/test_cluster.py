"""Several sender processes with faults: power losses, lost disks and network partitions."""

import asyncio
import base64
import random
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path

import pytest

from message_sender.control_socket import send_request
from message_sender.policy.model import Effect
from message_sender.recovery import learned_snapshot
from message_sender.recovery.stages import TRIAL_TIMEOUT_S
from message_sender.testbed.cluster import Cluster
from message_sender.testbed.faults import Fault, load_faults
from message_sender.testbed.history_checker import ClassRule, Rules
from message_sender.testbed.member_factory import Member, MemberFactory
from message_sender.testbed.receiver_stub import ReceiverStub

POWER = Path(__file__).parent.parent / "scenarios" / "power"
RATE = 60  # calls per second that a hub accepts
EXTRA_CONFIG = """
[limits]
max_open = 400
max_attempts = 20

[rules]
rates_told = true
fleet_size = {size}
cold_ms = 4000

[classes.safe]
aim_ms = 1000
deadline_ms = 8000
effect = "safe"

[classes.keyed]
aim_ms = 1000
deadline_ms = 8000
effect = "keyed"
window_ms = 7000
in_order = true

[classes.unsafe]
aim_ms = 1000
deadline_ms = 8000
effect = "unsafe"
"""
#: The tolerance for late messages is wide because the machine may be busy with other tests.
RULES = Rules(
    {
        "safe": ClassRule(),
        "keyed": ClassRule(Effect.KEYED, 7.0, is_ordered=True),
        "unsafe": ClassRule(Effect.UNSAFE),
    },
    zones={"hub": "a"},
    destinations={"hub": 1},
    late_tolerance=3.0,
)


@asynccontextmanager
async def fleet(
    folder: Path,
    size: int = 5,
    seed: int = 0,
    sync: str = "group",
    link: bool = True,
    member_factory: MemberFactory | None = None,
) -> AsyncIterator[tuple[Cluster, ReceiverStub]]:
    """Starts a cluster and its hub, and stops them at the end."""
    cluster = Cluster(folder, size, seed, sync, link, member_factory=member_factory)
    async with ReceiverStub("hub", cluster.history, RATE) as hub:
        cluster.extra_config = EXTRA_CONFIG.format(size=size) + hub.to_config()
        async with cluster:
            await cluster.start()
            yield cluster, hub


async def submit_to_each(cluster: Cluster, count: int, kind: str = "keyed") -> int:
    """Submits `count` messages to each member; returns how many were accepted."""
    names = [(f"{member}-{number}", member) for number in range(count) for member in cluster.members]
    accepted = [await cluster.submit(name, kind, 1, 8, f"key {name}", [member]) for name, member in names]
    return len([each for each in accepted if each])


async def wait_for_completions(cluster: Cluster) -> None:
    """Waits until each accepted message has been completed by the member that accepted it."""

    def is_all_completed() -> bool:
        completed = {(each["by"], each["id"]) for each in cluster.completions()}
        return all((member, message_id) in completed for message_id, member in cluster.accepted_by.items())

    await cluster.wait_until(is_all_completed, 40)


def count_log_lines(cluster: Cluster, text: str) -> int:
    """Returns how many log lines of all members contain a text."""
    return sum(text in line for each in cluster.members.values() for line in each.log)


def test_accepted_messages_survive_a_power_loss_and_one_trial_opens_the_hub(tmp_path: Path) -> None:
    async def run() -> None:
        async with fleet(tmp_path) as (cluster, hub):
            hub.is_down = True
            assert await submit_to_each(cluster, 12) == 60
            await cluster.cut(keeps=0.0)
            # The delay gives each member time for a trial of its own if it does not wait for the others.
            hub.is_down, hub.response_delay = False, 0.3
            hub.call_times.clear()
            before = count_log_lines(cluster, "trial=True")
            await cluster.start()
            await wait_for_completions(cluster)
            assert count_log_lines(cluster, "trial=True") - before == 1
            assert (
                len([each for each in hub.call_times if each < hub.call_times[0] + hub.response_delay]) == 1
            )
            assert count_log_lines(cluster, "4 of 4 others spoke, 4 are returning too") >= 5
            # In slow start the hub accepts a fifth of its rate. The bound is for the calls in any 100 ms,
            # with one call that was in flight.
            assert hub.max_count_within(0.1) <= RATE * 0.1 * 1.5 + 1 and not hub.rejected
            assert not cluster.check_history(RULES)
            assert all(len(each) == 1 for each in hub.served_at.values())
            delivered = {each["id"] for each in cluster.completions() if each["state"] == "delivered"}
            assert len(delivered) >= 50, "the others reached their deadline, or may have run"

    asyncio.run(run())


def test_without_a_sync_a_power_loss_empties_the_journal(tmp_path: Path) -> None:
    async def run() -> None:
        async with fleet(tmp_path, 2, sync="none", link=False) as (cluster, hub):
            hub.is_down = True
            assert await submit_to_each(cluster, 5) == 10
            await cluster.cut(keeps=0.0)
            hub.is_down = False
            await cluster.start()
            assert not any((each.state / "journal").read_bytes() for each in cluster.members.values())

    asyncio.run(run())


def draw_faults(seed: int) -> list[Fault]:
    """Returns the faults of one run.

    All members or three of them lose power, some runs have a second power loss of these three, and in some
    the network is partitioned meanwhile.
    """
    rng = random.Random(f"faults {seed}")
    names = rng.sample(["n0", "n1", "n2", "n3", "n4"], 5)
    affected, cut_at = tuple(names[:3]), rng.uniform(0.2, 0.9)
    faults = [Fault(cut_at, "cut", rng.choice([(), (), affected]))]
    if rng.random() < 0.4:
        faults += [Fault(cut_at + 0.01, "split", (" ".join(affected), " ".join(names[3:])))]
        faults += [Fault(cut_at + 1.5, "heal")]
    if rng.random() < 0.4:
        faults += [Fault(cut_at + 0.02, "start", affected), Fault(cut_at + 0.6, "cut", affected)]
    return [*faults, Fault(cut_at + 1.0, "start")]


async def run_with_faults(
    folder: Path, seed: int, member_factory: MemberFactory | None = None, faults: list[Fault] | None = None
) -> list[str]:
    """Returns the violations that the history checker finds after traffic with faults.

    The hub is down for a part of the traffic.
    """
    rng = random.Random(f"traffic {seed}")
    async with fleet(folder, seed=seed, member_factory=member_factory) as (cluster, hub):
        cluster.relay.loss, cluster.relay.duplication = rng.choice([(0, 0), (0.1, 0.1), (0.3, 0.2)])
        cluster.relay.delay = rng.choice([0.0, 0.02])

        async def traffic() -> None:
            names = list(cluster.members)
            for number in range(120):
                kind = rng.choice(["safe", "keyed", "unsafe"])
                key = f"key {number % 7}" if number % 2 else ""
                # A client without an acceptance resubmits to another sender with the same id. Messages with a
                # key go to a single sender, which keeps their order.
                senders = [names[number % 7 % 5]] if key else rng.sample(names, 2)
                if not await cluster.submit(f"m{number}", kind, 1, 8, key, senders):
                    await cluster.wait_until(lambda: any(each.port for each in cluster.members.values()))
                hub.is_down = 30 <= number < 80

        await asyncio.gather(traffic(), cluster.run(draw_faults(seed) if faults is None else faults))
        await wait_for_completions(cluster)
        return [f"seed {seed}: {each.rule}: {each.text}" for each in cluster.check_history(RULES)]


def test_cuts_from_twenty_seeds_break_no_rule(tmp_path: Path) -> None:
    async def find_violations() -> list[str]:
        concurrent_runs = asyncio.Semaphore(7)

        async def run_seed(seed: int) -> list[str]:
            async with concurrent_runs:
                return await run_with_faults(tmp_path / str(seed), seed, member_factory)

        async with MemberFactory() as member_factory:
            violations_by_seed = await asyncio.gather(*(run_seed(seed) for seed in range(20)))
        return [each for violations in violations_by_seed for each in violations]

    assert asyncio.run(find_violations()) == []


@pytest.mark.parametrize("file", sorted(POWER.glob("*.toml")), ids=lambda file: file.stem)
def test_each_scenario_breaks_no_rule(tmp_path: Path, file: Path) -> None:
    assert asyncio.run(run_with_faults(tmp_path, 1, faults=load_faults(file))) == []


def has_logged(cluster: Cluster, text: str, times: int) -> bool:
    """Returns whether exactly `times` log lines of all members contain a text."""
    return count_log_lines(cluster, text) == times


def authenticated_datagrams(member: Member) -> int:
    """Returns how many datagrams a member has authenticated."""
    return int(send_request(member.state, {"do": "fleet"})["value"]["heard"])


def test_keys_change_while_the_fleet_runs(tmp_path: Path) -> None:
    async def run() -> None:
        async with fleet(tmp_path, 2) as (cluster, _):
            new_key = base64.b64encode(b"n" * 32).decode()
            changes = ([cluster.key, new_key], [new_key, cluster.key], [new_key])
            for number, keys in enumerate(changes, 1):
                for each in cluster.members.values():
                    (each.folder / "fleet.key").write_text("\n".join(keys) + "\n")
                    cluster.signal(each, signal.SIGHUP)
                await cluster.wait_until(partial(has_logged, cluster, "keys replaced: count=", 2 * number))
            before = [authenticated_datagrams(each) for each in cluster.members.values()]
            await cluster.wait_until(
                lambda: all(
                    authenticated_datagrams(member) > count
                    for member, count in zip(cluster.members.values(), before, strict=True)
                )
            )

    asyncio.run(run())


def test_members_with_an_empty_an_outdated_and_a_damaged_disk_restart(tmp_path: Path) -> None:
    async def run() -> None:
        async with fleet(tmp_path, 4) as (cluster, hub):
            hub.is_down = True
            old_files = {
                each.name: each.read_bytes()
                for each in cluster.members["n1"].state.iterdir()
                if each.is_file()
            }
            assert await submit_to_each(cluster, 5) == 20
            await cluster.cut()
            await cluster.lose_disk("n0")
            for name, data in old_files.items():  # restores the member's earlier files
                (cluster.members["n1"].state / name).write_bytes(data)
            journal = cluster.members["n2"].state / "journal"
            data = bytearray(journal.read_bytes())
            data[data.index(b'{"taken":{"id":"n2-1"')] ^= 1
            journal.write_bytes(data)
            hub.is_down = False
            await cluster.start()
            # The messages of n0 and n1 are lost with their disks, so no completion is expected.
            for name in ("n0", "n1"):
                cluster.accepted_by = {
                    message_id: member for message_id, member in cluster.accepted_by.items() if member != name
                }
            cluster.accepted_by.pop("n2-1")
            await wait_for_completions(cluster)
            assert all(len(each) == 1 for each in hub.served_at.values())
            # The counts around the lost record show that it held no attempt, so no other message is in doubt.
            assert count_log_lines(cluster, "reason=unreadable may_have_run=none") == 1
            assert count_log_lines(cluster, "may_have_run=n2-0") == 0

    asyncio.run(run())


@pytest.mark.parametrize("fault", ["cut", "kill"])
def test_a_member_that_lost_its_disk_adopts_what_others_keep_out_of_service(
    tmp_path: Path, fault: str
) -> None:
    async def run() -> None:
        cluster = Cluster(tmp_path, 3, 1)
        async with (
            ReceiverStub("hub", cluster.history, RATE) as hub,
            ReceiverStub("old", cluster.history, RATE) as old,
        ):
            cluster.extra_config = EXTRA_CONFIG.format(size=3) + hub.to_config() + "\n" + old.to_config()
            async with cluster:
                await cluster.start()
                now = time.time_ns() // 1000
                override = {"do": "set", "kind": "out", "endpoint": "old", "who": "op", "why": "moved"}
                for each in ("n1", "n2"):
                    await cluster.request(each, override | {"begins": now, "until": now + 60_000_000})
                await getattr(cluster, fault)("n0")
                if fault == "cut":
                    await cluster.lose_disk("n0")
                await cluster.start("n0")
                assert all(
                    [await cluster.submit(f"m{number}", "safe", 1, 8, to=["n0"]) for number in range(6)]
                )
                await wait_for_completions(cluster)
                overrides = (await cluster.request("n0", {"do": "list"}))["overrides"]
                if fault == "cut":
                    assert not old.call_times and len(hub.call_times) == 6
                    assert [(each["endpoint"], each["who"]) for each in overrides] == [("old", "n1")]
                else:
                    assert old.call_times and not overrides, "its own disk has the latest state"

    asyncio.run(run())


@pytest.mark.parametrize("kind", ["keyed", "unsafe"])
def test_a_message_that_another_member_accepted_meanwhile_runs_once(tmp_path: Path, kind: str) -> None:
    async def run() -> None:
        async with fleet(tmp_path, 3) as (cluster, hub):
            hub.is_down = True
            assert await cluster.submit("m", kind, 1, 8, to=["n0"])
            await cluster.cut("n0")
            assert await cluster.submit("m", kind, 1, 8, to=["n1"])
            hub.is_down = False
            await cluster.wait_until(lambda: bool(hub.served_at["m"]))
            await cluster.start("n0")
            await cluster.wait_until(lambda: any(each["by"] == "n0" for each in cluster.completions()))
            await wait_for_completions(cluster)
            assert len(hub.served_at["m"]) == 1
            assert count_log_lines(cluster, "id=m member=n1 ") == 1

    asyncio.run(run())


def has_stored_retry_after(state: Path) -> bool:
    """Returns whether the stored snapshot has a Retry-After."""
    snapshot = (
        learned_snapshot.decode((state / learned_snapshot.LEARNED_FILE).read_bytes())
        if (state / learned_snapshot.LEARNED_FILE).exists()
        else None
    )
    return snapshot is not None and any(values["wait_until"] for _, _, values in snapshot[1])


def test_a_retry_after_applies_to_all_members_across_a_power_loss(tmp_path: Path) -> None:
    async def run() -> None:
        async with fleet(tmp_path, 3) as (cluster, hub):
            hub.retry_after = 5.0
            assert await cluster.submit("m", "keyed", 1, 8, to=["n0"])
            await cluster.wait_until(
                lambda: bool(hub.call_times) and has_stored_retry_after(cluster.members["n0"].state)
            )
            rejected_at = hub.call_times[0]
            hub.retry_after = 0.0
            await cluster.cut(keeps=0.0)
            await cluster.start()
            await cluster.wait_until(lambda: len(hub.call_times) > 1)
            assert hub.call_times[1] >= rejected_at + 5.0

    asyncio.run(run())


def test_the_trial_of_a_paused_member_is_taken_over_and_its_resumption_is_harmless(tmp_path: Path) -> None:
    async def run() -> None:
        async with fleet(tmp_path, 3) as (cluster, hub):
            hub.is_down = True
            assert await submit_to_each(cluster, 4) == 12
            await cluster.cut()
            hub.is_down, hub.response_delay = False, 1.0
            hub.call_times.clear()
            await cluster.start()
            await cluster.wait_until(lambda: len(hub.call_times) == 1)
            status = send_request(cluster.members["n0"].state, {"do": "fleet"})["value"]["destinations"]["1"]
            (holder,) = status["tried_by"]
            await cluster.stop(holder)
            await cluster.wait_until(lambda: len(hub.call_times) >= 2)
            assert hub.call_times[1] >= hub.call_times[0] + TRIAL_TIMEOUT_S - 0.2
            await cluster.wait_until(lambda: len(hub.call_times) >= 6)
            await cluster.wake(holder)
            await wait_for_completions(cluster)
            assert not [each for each in cluster.check_history(RULES) if each.rule != "one end"]
            assert all(len(each) == 1 for each in hub.served_at.values())

    asyncio.run(run())


@pytest.mark.parametrize(
    "faults",
    [
        {"n0": ("clock_offset", -1.7e9), "n1": ("clock_offset", 300.0), "n2": ("clock_offset", -1.7e9)},
        {"n0": ("sync_delay", 2.0), "n1": ("disk_fault", "eio"), "n2": ("disk_fault", "full")},
    ],
    ids=["clocks", "disks"],
)
def test_a_member_with_a_faulty_clock_or_disk_does_not_affect_the_others(
    tmp_path: Path, faults: dict[str, tuple[str, object]]
) -> None:
    async def run() -> None:
        async with fleet(tmp_path, 4) as (cluster, hub):
            hub.is_down = True
            assert await submit_to_each(cluster, 4) == 16
            await cluster.cut()
            for name, (attribute, value) in faults.items():
                setattr(cluster.members[name], attribute, value)
            hub.is_down = False
            open_before = sum("stage entered: stage=open " in each for each in cluster.members["n3"].log)
            await asyncio.gather(*(cluster.start(name) for name in cluster.members), return_exceptions=True)
            healthy = [
                name for name, each in cluster.members.items() if each.is_alive and not each.disk_fault
            ]
            assert {"n3"} <= set(healthy)
            cluster.accepted_by = {
                message_id: member for message_id, member in cluster.accepted_by.items() if member in healthy
            }
            await wait_for_completions(cluster)
            await cluster.wait_until(
                lambda: (
                    sum("stage entered: stage=open " in line for line in cluster.members["n3"].log)
                    == open_before + 1
                )
            )
            assert await cluster.submit("later", "keyed", 1, 8, to=["n3"]) == "n3"
            await wait_for_completions(cluster)
            assert all(len(each) == 1 for each in hub.served_at.values())

    asyncio.run(run())
