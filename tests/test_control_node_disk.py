"""Control nodes on virtual time: lost, old, damaged, full and hanging disks."""

import asyncio
import os
import random
import shutil
import stat
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path

import pytest
from control_nodes import (
    KEY,
    VOTES,
    Cluster,
    find_bad_values,
    run_scenario,
)

from message_sender.control import messages
from message_sender.control.channel import Channel, KnownStart
from message_sender.control.folder import FolderError, Identity, StateFolder
from message_sender.control.log_file import LogFile
from message_sender.control.messages import (
    Outcome,
)
from message_sender.control.node import ControlNode
from message_sender.control.raft_types import HardState, Role
from message_sender.control.replica import Replica
from message_sender.control.store import ConfigurationStore
from message_sender.fleet.seal import Seal
from message_sender.testbed.simulated_disk import MemoryDisk, SimulatedDisk


@pytest.mark.parametrize("is_initialised", [False, True])
def test_a_node_that_lost_its_disk_copies_the_log_and_counts_for_no_majority(
    is_initialised: bool, tmp_path: Path
) -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.start()
        leader = await cluster.wait_for_leader()
        await cluster.make_change(leader)
        lost = next(name for name in ("c2", "c3") if name != leader)
        machine = cluster.machines[lost]
        cluster.kill(lost)
        shutil.rmtree(machine.folder)
        machine.simulated_disk = SimulatedDisk()
        if is_initialised:
            cluster.initialise(machine)
        cluster.start(lost)
        await cluster.wait_until(lambda: cluster.driver(lost).node.replica.role is Role.LEARNER)
        cluster.watch(4)
        await cluster.wait_until_everywhere()
        assert (await cluster.make_change(lost)).version == 2
        await cluster.wait_until_everywhere()
        status = (await cluster.status("c1"))[lost]
        assert status.role == "learner"
        assert (
            "an older epoch than the other nodes know" if is_initialised else "not initialised"
        ) in status.fault
        others = [name for name in VOTES if name not in ("c1", lost)]
        cluster.kill(*others)
        result = await cluster.make_change("c1")
        assert result.outcome is Outcome.UNAVAILABLE
        cluster.kill(lost)
        cluster.start(lost, others[0])
        await cluster.wait_for_leader()
        assert cluster.driver(lost).node.replica.role is Role.LEARNER
        # The change is based on the version of the asked node, so the learner must first copy the log.
        await cluster.wait_until(lambda: cluster.document(lost).version >= 2)
        assert (await cluster.make_change(lost)).outcome is Outcome.APPLIED

    run_scenario(tmp_path, scenario)


def test_a_node_with_an_old_disk_learns_of_it_from_the_other_nodes(tmp_path: Path) -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.start()
        await cluster.wait_for_leader()
        await cluster.make_change("c1")
        await cluster.wait_until_everywhere()
        cluster.kill("c2")
        copy, simulated_disk = (
            tmp_path / "copy",
            SimulatedDisk(cluster.machines["c2"].simulated_disk.cut(random.Random(0), 1.0)),
        )
        shutil.copytree(cluster.machines["c2"].folder, copy)
        cluster.start("c2")
        await cluster.wait_for_leader()
        await cluster.make_change("c1")
        await cluster.wait_until_everywhere()
        cluster.kill(*VOTES)
        shutil.rmtree(cluster.machines["c2"].folder)
        shutil.copytree(copy, cluster.machines["c2"].folder)
        cluster.machines["c2"].simulated_disk = simulated_disk
        cluster.start()
        await cluster.wait_until(lambda: cluster.driver("c2").node.replica.role is Role.LEARNER)
        await cluster.wait_for_leader()
        await cluster.make_change("c1")
        await cluster.wait_until_everywhere()
        assert not cluster.driver("c2").node.replica.is_voter
        cluster.kill("c2")
        cluster.start("c2")
        assert cluster.driver("c2").node.replica.role is Role.LEARNER, "also after its next start"

    run_scenario(tmp_path, scenario)


def test_a_node_with_a_damaged_log_becomes_a_learner_and_reports_the_offset(tmp_path: Path) -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.start()
        await cluster.wait_for_leader()
        for _ in range(5):
            await cluster.make_change("c1")
        await cluster.wait_until_everywhere()
        cluster.kill("c3")
        content = cluster.machines["c3"].simulated_disk.cut(random.Random(0), 1.0)
        damaged = bytearray(content["log"])
        damaged[len(damaged) // 2] ^= 16
        cluster.machines["c3"].simulated_disk = SimulatedDisk({**content, "log": bytes(damaged)})
        for _ in range(2):
            cluster.start("c3")
            fault = cluster.driver("c3").node.fault()
            assert "its log is damaged" in fault and "at byte" in fault
            await cluster.make_change("c1")
            await cluster.wait_until_everywhere()
            cluster.kill("c3")
        content = cluster.machines["c3"].simulated_disk.cut(random.Random(0), 1.0)
        assert content["log.damaged"] == bytes(damaged)
        cluster.start("c3")

    run_scenario(tmp_path, scenario)


def have_one_version(cluster: Cluster, names: Sequence[str]) -> bool:
    return len({cluster.document(name).version for name in names}) == 1


def have_watchers_version(cluster: Cluster, version: int) -> bool:
    return all(watcher.watch.document.version >= version for watcher in cluster.watchers)


@pytest.mark.parametrize("count", [1, 3])
def test_a_node_with_a_full_disk_confirms_no_change_and_still_serves_watches(
    count: int, tmp_path: Path
) -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.start()
        cluster.watch(4)
        leader = await cluster.wait_for_leader()
        await cluster.make_change(leader)
        await cluster.wait_until_everywhere()
        others = [name for name in VOTES if name != leader]
        full = [leader, *others[: count - 1]]
        for name in full:
            cluster.machines[name].is_full = True
        result = await cluster.make_change(leader, b"2")
        if count == 1:
            assert result.outcome in (Outcome.UNAVAILABLE, Outcome.APPLIED)
            while (await cluster.make_change(others[0], b"3")).outcome is not Outcome.APPLIED:
                pass
            await cluster.wait_until(partial(have_one_version, cluster, others))
        else:
            assert result.outcome is Outcome.UNAVAILABLE
            assert {cluster.document(name).version for name in VOTES} == {1}
        await asyncio.sleep(5.0)
        status = (await cluster.status(others[-1]))[leader]
        assert "writes to the disk fail" in status.fault and "No space left" in status.fault
        cluster.watch(8)
        newest = max(cluster.confirmed.values())
        took = await cluster.wait_until(partial(have_watchers_version, cluster, newest), within=20.0)
        print(f"{len(cluster.watchers)} watchers have the newest version after {took:.1f} s")
        if count == 3:
            served = [cluster.driver(name).node.fanout for name in full]
            assert any(fanout.watchers(cluster.driver(leader).clock()) for fanout in served)
        for name in full:
            cluster.machines[name].is_full = False
        await cluster.wait_for_leader()
        while (await cluster.make_change("c1", b"4")).outcome is not Outcome.APPLIED:
            pass
        await cluster.wait_until_everywhere()
        assert all(not cluster.driver(name).node.disk_fault for name in VOTES)

    run_scenario(tmp_path, scenario)


def test_failed_writes_to_the_state_folder_are_retried(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def refuse(*_: object) -> None:
        raise OSError(28, "No space left on device")

    async def scenario(cluster: Cluster) -> None:
        with monkeypatch.context() as full:
            full.setattr(StateFolder, "write_starts", refuse)
            cluster.start()
            await cluster.wait_for_leader()
            assert (await cluster.make_change("c1")).outcome is Outcome.APPLIED
            assert not StateFolder(tmp_path / "c1").read_starts()
        known = cluster.driver("c1").node.channel.known_starts
        assert known
        await cluster.wait_until(lambda: StateFolder(tmp_path / "c1").read_starts() == known)

    run_scenario(tmp_path, scenario)


def test_a_state_folder_is_initialised_only_once(tmp_path: Path) -> None:
    cluster = Cluster(tmp_path)
    with pytest.raises(FolderError, match="expected an empty folder, found"):
        cluster.initialise(cluster.machines["c1"])


@pytest.mark.parametrize("file_kind", ["identity", "epoch", "starts", "learner"])
def test_each_file_of_the_state_folder_is_durable_under_its_name_once_it_is_written(
    file_kind: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    done: list[str] = []
    replace, sync = os.replace, os.fsync

    def recorded_replace(old: Path, new: Path) -> None:
        replace(old, new)
        done.append("name")

    def recorded_sync(file: int) -> None:
        sync(file)
        done.append("folder" if stat.S_ISDIR(os.fstat(file).st_mode) else "content")

    folder = StateFolder(tmp_path / "c1")
    folder.path.mkdir()
    writes: dict[str, Callable[[], None]] = {
        "identity": lambda: folder.initialise(Identity("test", "c1", "now"), MemoryDisk(SimulatedDisk())),
        "epoch": lambda: folder.write_epoch(7),
        "starts": lambda: folder.write_starts({}),
        "learner": lambda: folder.mark_learner("lost"),
    }
    monkeypatch.setattr(os, "replace", recorded_replace)
    monkeypatch.setattr(os, "fsync", recorded_sync)
    writes[file_kind]()
    assert done == ["content", "name", "folder"]


@pytest.mark.parametrize("method", [(LogFile, "store"), (StateFolder, "write_starts")], ids=["log", "folder"])
def test_a_defect_in_a_worker_thread_stops_the_node(
    method: tuple[type, str], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def defect(*_: object) -> None:
        raise RuntimeError("a defect")

    async def scenario(cluster: Cluster) -> None:
        with monkeypatch.context() as broken:
            broken.setattr(*method, defect)
            cluster.start()
            while not cluster.defects:
                await asyncio.sleep(0.01)
        assert str(cluster.defects[0]) == "a defect"
        ended = [name for name in VOTES if cluster.driver(name).is_closed]
        assert len(ended) == len(cluster.defects), "each is reported once"
        cluster.defects.clear()

    run_scenario(tmp_path, scenario)


class Wire:
    """Connects a node to channels that the test controls, and records the bodies that the channels accept."""

    def __init__(self, node: ControlNode, *others: Channel) -> None:
        self.node, self.others = node, {channel.name: channel for channel in others}
        self.accepted: dict[str, list[messages.Body]] = {channel.name: [] for channel in others}

    def exchange(self) -> None:
        """Delivers datagrams in both directions until none is left."""
        is_busy = True
        while is_busy:
            is_busy = False
            for other in self.others.values():
                for _, datagram in other.take_datagrams():
                    is_busy = True
                    self.node.receive(datagram, (other.name, 7000), 0.0)
            for address, datagram in self.node.channel.take_datagrams():
                is_busy = True
                bodies = self.others[address[0]].receive(datagram, (self.node.name, 7000), 0.0)
                self.accepted[address[0]] += [body for _, body in bodies]


@pytest.mark.parametrize("is_behind", [False, True])
def test_a_vote_that_waits_for_the_disk_is_dropped_if_the_node_learns_that_its_disk_is_old(
    is_behind: bool,
) -> None:
    seal, votes = Seal([KEY]), dict.fromkeys(("a", "b", "c"), 1)
    addresses = {name: (name, 7000) for name in votes}
    known = {"b": KnownStart(9, 99)} if is_behind else {}
    candidate = Channel("a", 1, 11, seal, addresses)
    witness = Channel("c", 1, 33, seal, addresses, known)
    replica = Replica("b", votes, HardState(), (), random.Random(1), 0.0)
    channel = Channel("b", 1, 22, seal, {name: addresses[name] for name in ("a", "c")})
    node = ControlNode(channel, replica, ConfigurationStore(), find_bad_values, random.Random(2), 0.0)
    wire = Wire(node, candidate, witness)
    candidate.send("b", messages.VoteRequest(1, 0, 0, False), 0.0)
    wire.exchange()
    assert node.take_batch() is not None, "the vote"
    witness.send("b", messages.StatusRequest(1), 0.0)
    wire.exchange()
    assert (replica.role is Role.LEARNER) is is_behind
    node.stored(0.0)
    wire.exchange()
    vote = messages.VoteReply(1, True, False)
    assert wire.accepted["a"] == ([] if is_behind else [vote])


def test_bodies_queued_for_a_peer_are_dropped_if_the_node_learns_that_its_disk_is_old() -> None:
    seal = Seal([KEY])
    old = Channel("b", 1, 22, seal, {"c": ("c", 7000)})
    witness = Channel("c", 1, 33, seal, {"b": ("b", 7000)}, {"b": KnownStart(9, 99)})
    old.send("c", messages.VoteRequest(1, 0, 0, False), 0.0)
    accepted: list[tuple[str, messages.Body]] = []
    for _ in range(4):
        for _, datagram in old.take_datagrams():
            accepted += witness.receive(datagram, ("b", 7000), 0.0)
        for _, datagram in witness.take_datagrams():
            old.receive(datagram, ("c", 7000), 0.0)
    assert old.is_behind and not accepted
