"""Several processes of the sender, and faults between them: cuts of the power, lost disks, a split link."""

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
RATE = 60  # calls a second that a hub takes
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
#: The senders start on a machine that is busy with other tests: lateness is judged with that in mind.
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
    """Runs a cluster and its hub."""
    cluster = Cluster(folder, size, seed, sync, link, member_factory=member_factory)
    async with ReceiverStub("hub", cluster.history, RATE) as hub:
        cluster.extra_config = EXTRA_CONFIG.format(size=size) + hub.to_config()
        async with cluster:
            await cluster.start()
            yield cluster, hub


async def submit_to_each(cluster: Cluster, count: int, kind: str = "keyed") -> int:
    """Submits `count` messages to each member; returns how many were accepted."""
    names = [(f"{each}-{number}", each) for number in range(count) for each in cluster.members]
    taken = [await cluster.submit(name, kind, 1, 8, f"key {name}", [each]) for name, each in names]
    return len([each for each in taken if each])


async def wait_for_completions(cluster: Cluster) -> None:
    """Waits until each accepted message has been completed by the member that accepted it."""

    def all_ended() -> bool:
        notified = {(each["by"], each["id"]) for each in cluster.completions()}
        return all((by, name) in notified for name, by in cluster.accepted_by.items())

    await cluster.wait_until(all_ended, 40)


def count_log_lines(cluster: Cluster, text: str) -> int:
    return sum(text in line for each in cluster.members.values() for line in each.log)


def test_what_was_answered_outlives_the_power_and_one_trial_opens_the_hub(tmp_path: Path) -> None:
    async def play() -> None:
        async with fleet(tmp_path) as (cluster, hub):
            hub.is_down = True
            assert await submit_to_each(cluster, 12) == 60
            await cluster.cut(keeps=0.0)
            hub.is_down, hub.response_delay = False, 0.3  # long enough for all to try who do not ask
            hub.call_times.clear()
            before = count_log_lines(cluster, "trial=True")
            await cluster.start()
            await wait_for_completions(cluster)
            assert count_log_lines(cluster, "trial=True") - before == 1
            assert (
                len([each for each in hub.call_times if each < hub.call_times[0] + hub.response_delay]) == 1
            )
            assert count_log_lines(cluster, "4 of 4 others spoke, 4 are returning too") >= 5
            # Cold it takes a fifth: what any 100 ms may bring, with one call that was on its way.
            assert hub.max_count_within(0.1) <= RATE * 0.1 * 1.5 + 1 and not hub.rejected
            assert not cluster.check_history(RULES)
            assert all(len(each) == 1 for each in hub.served_at.values())
            delivered = {each["id"] for each in cluster.completions() if each["state"] == "delivered"}
            assert len(delivered) >= 50, "the time of the others was up, or they may have run"

    asyncio.run(play())


def test_without_a_sync_all_of_it_is_gone(tmp_path: Path) -> None:
    async def play() -> None:
        async with fleet(tmp_path, 2, sync="none", link=False) as (cluster, hub):
            hub.is_down = True
            assert await submit_to_each(cluster, 5) == 10
            await cluster.cut(keeps=0.0)
            hub.is_down = False
            await cluster.start()
            assert not any((each.state / "journal").read_bytes() for each in cluster.members.values())

    asyncio.run(play())


def draw_faults(seed: int) -> list[Fault]:
    """Faults of one life: the power of all or of some goes, of some a second time, and the link is split
    meanwhile."""
    rng = random.Random(f"faults {seed}")
    names = rng.sample(["n0", "n1", "n2", "n3", "n4"], 5)
    some, cut = tuple(names[:3]), rng.uniform(0.2, 0.9)
    plan = [Fault(cut, "cut", rng.choice([(), (), some]))]
    if rng.random() < 0.4:
        plan += [Fault(cut + 0.01, "split", (" ".join(some), " ".join(names[3:])))]
        plan += [Fault(cut + 1.5, "heal")]
    if rng.random() < 0.4:
        plan += [Fault(cut + 0.02, "start", some), Fault(cut + 0.6, "cut", some)]
    return [*plan, Fault(cut + 1.0, "start")]


async def run_with_faults(
    folder: Path, seed: int, member_factory: MemberFactory | None = None, plan: list[Fault] | None = None
) -> list[str]:
    """Traffic with a hub that is down for a part of it, faults, and the referee's word on the whole."""
    rng = random.Random(f"traffic {seed}")
    async with fleet(folder, seed=seed, member_factory=member_factory) as (cluster, hub):
        cluster.relay.loss, cluster.relay.duplication = rng.choice([(0, 0), (0.1, 0.1), (0.3, 0.2)])
        cluster.relay.delay = rng.choice([0.0, 0.02])

        async def traffic() -> None:
            names = list(cluster.members)
            for number in range(120):
                kind = rng.choice(["safe", "keyed", "unsafe"])
                key = f"key {number % 7}" if number % 2 else ""
                # Who hears no yes comes again elsewhere, under the same id; a key's order is one sender's.
                order = [names[number % 7 % 5]] if key else rng.sample(names, 2)
                if not await cluster.submit(f"m{number}", kind, 1, 8, key, order):
                    await cluster.wait_until(lambda: any(each.port for each in cluster.members.values()))
                hub.is_down = 30 <= number < 80

        await asyncio.gather(traffic(), cluster.run(draw_faults(seed) if plan is None else plan))
        await wait_for_completions(cluster)
        return [f"seed {seed}: {each.rule}: {each.text}" for each in cluster.check_history(RULES)]


def test_cuts_from_twenty_seeds_break_no_rule(tmp_path: Path) -> None:
    async def play() -> list[str]:
        turns = asyncio.Semaphore(7)

        async def one(seed: int) -> list[str]:
            async with turns:
                return await run_with_faults(tmp_path / str(seed), seed, member_factory)

        async with MemberFactory() as member_factory:
            found = await asyncio.gather(*(one(seed) for seed in range(20)))
        return [each for breaches in found for each in breaches]

    assert asyncio.run(play()) == []


@pytest.mark.parametrize("file", sorted(POWER.glob("*.toml")), ids=lambda file: file.stem)
def test_each_scenario_breaks_no_rule(tmp_path: Path, file: Path) -> None:
    assert asyncio.run(run_with_faults(tmp_path, 1, plan=load_faults(file))) == []


def has_logged(cluster: Cluster, text: str, times: int) -> bool:
    return count_log_lines(cluster, text) == times


def authenticated_datagrams(member: Member) -> int:
    """Returns how many datagrams a member has authenticated."""
    return int(send_request(member.state, {"do": "fleet"})["value"]["heard"])


def test_keys_change_while_the_fleet_runs(tmp_path: Path) -> None:
    async def play() -> None:
        async with fleet(tmp_path, 2) as (cluster, _):
            fresh = base64.b64encode(b"n" * 32).decode()
            changes = ([cluster.key, fresh], [fresh, cluster.key], [fresh])
            for number, keys in enumerate(changes, 1):
                for each in cluster.members.values():
                    (each.folder / "fleet.key").write_text("\n".join(keys) + "\n")
                    cluster.signal(each, signal.SIGHUP)
                await cluster.wait_until(partial(has_logged, cluster, "keys replaced: count=", 2 * number))
            before = [authenticated_datagrams(each) for each in cluster.members.values()]
            await cluster.wait_until(
                lambda: all(
                    authenticated_datagrams(x) > y
                    for x, y in zip(cluster.members.values(), before, strict=True)
                )
            )

    asyncio.run(play())


def test_an_empty_disk_an_old_one_and_a_damaged_one_come_back(tmp_path: Path) -> None:
    async def play() -> None:
        async with fleet(tmp_path, 4) as (cluster, hub):
            hub.is_down = True
            old = {
                each.name: each.read_bytes()
                for each in cluster.members["n1"].state.iterdir()
                if each.is_file()
            }
            assert await submit_to_each(cluster, 5) == 20
            await cluster.cut()
            await cluster.lose_disk("n0")
            for name, data in old.items():  # a copy of before, under the same name
                (cluster.members["n1"].state / name).write_bytes(data)
            journal = cluster.members["n2"].state / "journal"
            data = bytearray(journal.read_bytes())
            data[data.index(b'{"taken":{"id":"n2-1"')] ^= 1
            journal.write_bytes(data)
            hub.is_down = False
            await cluster.start()
            for name in ("n0", "n1"):  # what they held is gone with their disks, and no client's to wait for
                cluster.accepted_by = {x: by for x, by in cluster.accepted_by.items() if by != name}
            cluster.accepted_by.pop("n2-1")
            await wait_for_completions(cluster)
            assert all(len(each) == 1 for each in hub.served_at.values())
            # The one lost record held no attempt, as the counts around it tell: nobody else comes into doubt.
            assert count_log_lines(cluster, "reason=unreadable may_have_run=none") == 1
            assert count_log_lines(cluster, "may_have_run=n2-0") == 0

    asyncio.run(play())


@pytest.mark.parametrize("by", ["cut", "kill"])
def test_what_others_keep_out_of_service_is_kept_so_by_who_lost_its_disk(tmp_path: Path, by: str) -> None:
    async def play() -> None:
        cluster = Cluster(tmp_path, 3, 1)
        async with (
            ReceiverStub("hub", cluster.history, RATE) as hub,
            ReceiverStub("old", cluster.history, RATE) as old,
        ):
            cluster.extra_config = EXTRA_CONFIG.format(size=3) + hub.to_config() + "\n" + old.to_config()
            async with cluster:
                await cluster.start()
                now = time.time_ns() // 1000
                out = {"do": "set", "kind": "out", "endpoint": "old", "who": "op", "why": "moved"}
                for each in ("n1", "n2"):
                    await cluster.request(each, out | {"begins": now, "until": now + 60_000_000})
                await getattr(cluster, by)("n0")
                if by == "cut":
                    await cluster.lose_disk("n0")
                await cluster.start("n0")
                assert all([await cluster.submit(f"m{x}", "safe", 1, 8, to=["n0"]) for x in range(6)])
                await wait_for_completions(cluster)
                kept = (await cluster.request("n0", {"do": "list"}))["overrides"]
                if by == "cut":
                    assert not old.call_times and len(hub.call_times) == 6
                    assert [(each["endpoint"], each["who"]) for each in kept] == [("old", "n1")]
                else:
                    assert old.call_times and not kept, "what its own disk tells is the latest"

    asyncio.run(play())


@pytest.mark.parametrize("kind", ["keyed", "unsafe"])
def test_an_id_that_another_one_took_on_meanwhile_runs_once(tmp_path: Path, kind: str) -> None:
    async def play() -> None:
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

    asyncio.run(play())


def has_stored_wait(state: Path) -> bool:
    """Returns whether the stored snapshot has a wait."""
    snapshot = (
        learned_snapshot.decode((state / learned_snapshot.LEARNED_FILE).read_bytes())
        if (state / learned_snapshot.LEARNED_FILE).exists()
        else None
    )
    return snapshot is not None and any(values["wait_until"] for _, _, values in snapshot[1])


def test_a_wait_that_was_told_binds_all_over_a_power_loss(tmp_path: Path) -> None:
    async def play() -> None:
        async with fleet(tmp_path, 3) as (cluster, hub):
            hub.retry_after = 5.0
            assert await cluster.submit("m", "keyed", 1, 8, to=["n0"])
            await cluster.wait_until(
                lambda: bool(hub.call_times) and has_stored_wait(cluster.members["n0"].state)
            )
            rejected_at = hub.call_times[0]
            hub.retry_after = 0.0
            await cluster.cut(keeps=0.0)
            await cluster.start()
            await cluster.wait_until(lambda: len(hub.call_times) > 1)
            assert hub.call_times[1] >= rejected_at + 5.0

    asyncio.run(play())


def test_who_stands_still_with_a_trial_is_taken_over_for_and_does_no_harm(tmp_path: Path) -> None:
    async def play() -> None:
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

    asyncio.run(play())


@pytest.mark.parametrize(
    "trouble",
    [
        {"n0": ("clock_offset", -1.7e9), "n1": ("clock_offset", 300.0), "n2": ("clock_offset", -1.7e9)},
        {"n0": ("sync_delay", 2.0), "n1": ("disk_fault", "eio"), "n2": ("disk_fault", "full")},
    ],
    ids=["clocks", "disks"],
)
def test_a_member_with_a_bad_clock_or_disk_harms_nobody(
    tmp_path: Path, trouble: dict[str, tuple[str, object]]
) -> None:
    async def play() -> None:
        async with fleet(tmp_path, 4) as (cluster, hub):
            hub.is_down = True
            assert await submit_to_each(cluster, 4) == 16
            await cluster.cut()
            for name, (what, value) in trouble.items():
                setattr(cluster.members[name], what, value)
            hub.is_down = False
            opened = sum("stage entered: stage=open " in each for each in cluster.members["n3"].log)
            await asyncio.gather(*(cluster.start(name) for name in cluster.members), return_exceptions=True)
            well = [name for name, each in cluster.members.items() if each.is_alive and not each.disk_fault]
            assert {"n3"} <= set(well)
            cluster.accepted_by = {name: by for name, by in cluster.accepted_by.items() if by in well}
            await wait_for_completions(cluster)
            await cluster.wait_until(
                lambda: (
                    sum("stage entered: stage=open " in x for x in cluster.members["n3"].log) == opened + 1
                )
            )
            assert await cluster.submit("later", "keyed", 1, 8, to=["n3"]) == "n3"
            await wait_for_completions(cluster)
            assert all(len(each) == 1 for each in hub.served_at.values())

    asyncio.run(play())
