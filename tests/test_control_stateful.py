"""A stateful check of the control plane, and planted defects that the check must find."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
import pytest
from control_plane_check import VALUES, ControlPlane
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import (
    run_state_machine_as_test,
)
from watch_helpers import BAD, RecordingApplier, copy_of

from message_sender.control import snapshot_fetch
from message_sender.control.document import DeltaMismatchError, Document, Snapshot, SnapshotError
from message_sender.control.fanout import Fanout
from message_sender.control.messages import (
    Change,
    ChangeResult,
    Delta,
    Poll,
    VersionNotice,
)
from message_sender.control.store import ConfigurationStore
from message_sender.control.watch import RefusedConfigurationError, Watch

CHECK = settings(
    max_examples=60,
    stateful_step_count=50,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
FIND = settings(CHECK, max_examples=300, phases=[Phase.generate], report_multiple_bugs=False)


def test_no_invariant_is_violated_over_a_faulty_network() -> None:
    run_state_machine_as_test(ControlPlane, settings=CHECK)


# Planted defects: each is found by the same check.


def apply_unchecked(self: Document, delta: Delta) -> None:
    for name in delta.delete:
        self.resources.pop(name, None)
    self.resources.update((each.name, each.value) for each in delta.put)
    self.version, self.digest = delta.to_version, delta.digest


def check_nothing(self: Document, delta: Delta) -> None:
    pass


def check_only_digest(self: Document, delta: Delta) -> None:
    if self.digest_after(delta.put, delta.delete) != delta.digest:
        raise DeltaMismatchError("another digest")


def check_only_base(self: Document, delta: Delta) -> None:
    assert delta.from_version == self.version


def apply_any_delta(self: Watch, delta: Delta, now: float) -> None:
    if not self._is_refused(delta.to_version):
        self._apply(delta, now)


def apply_any_newer_delta(self: Watch, delta: Delta, now: float) -> None:
    if delta.to_version > self.document.version and not self._is_refused(delta.to_version):
        self._apply(delta, now)


def fetch_any_other_version(self: Watch, notice: VersionNotice, now: float) -> None:
    if notice.version != self.document.version:
        self._start_fetch(notice.version, notice.digest, now)


def install_anything(self: Watch, fetched: snapshot_fetch.SnapshotFetch, now: float) -> None:
    try:
        document = fetched.document()
    except SnapshotError:
        return
    if not self._is_refused(document.version):
        self._apply(snapshot_fetch.compute_delta(self.document, document), now)


def apply_resource_by_resource(self: RecordingApplier, document: Document, delta: Delta) -> None:
    self.attempts.append(delta.to_version)
    for resource in delta.put:
        if resource.value == BAD:
            raise RefusedConfigurationError("cannot be put in force")
        self.active_resources[resource.name] = resource.value
    for name in delta.delete:
        del self.active_resources[name]
    stored = copy_of(document)
    stored.apply(delta)
    self.stored = stored
    self.steps.append((delta.from_version, delta.to_version))


def change_document_before_it_is_accepted(self: Watch, delta: Delta, now: float) -> None:
    before = copy_of(self.document)
    self.document.apply(delta)
    try:
        self._applier.apply(before, delta)
    except RefusedConfigurationError as error:
        self._refuse(delta.to_version, str(error), float("inf"))


def acknowledge_refused_version(self: Watch) -> Poll:
    refusal = self._refusal
    version = max(self.document.version, refusal.version if refusal else 0)
    return Poll(version, self.document.digest, refusal.version if refusal else 0)


def decode_without_digest(data: bytes) -> Document:
    try:
        snapshot = msgspec.msgpack.decode(data, type=Snapshot)
    except (msgspec.MsgspecError, ValueError) as error:
        raise SnapshotError(str(error)) from None
    document = Document(snapshot.version, {each.name: each.value for each in snapshot.resources})
    document.digest = snapshot.digest
    return document


def apply_without_comparing(self: ConfigurationStore, change: Change) -> ChangeResult:
    rebased = Change(change.request_id, self.document.version, change.put, change.delete)
    return ORIGINAL_APPLY_CHANGE(self, rebased)


ORIGINAL_APPLY_CHANGE = ConfigurationStore._apply_change
Patch = tuple[object, str, Callable[..., Any]]


@dataclass(frozen=True)
class Defect:
    """A planted defect: the replaced attributes, and a pattern of the expected assertion text."""

    patches: tuple[Patch, ...]
    expected_text: str


DEFECTS = {
    "an older version is accepted": Defect(
        (
            (Watch, "_handle_notice", fetch_any_other_version),
            (Watch, "_install", install_anything),
            (Document, "check", check_only_digest),
            (Document, "apply", apply_unchecked),
        ),
        # A step down violates both invariants: a tick checks the first one, the end of a rule the other.
        "the version fell|applied twice, or to another version",
    ),
    "a delta is applied twice": Defect(
        (
            (Watch, "_handle_delta", apply_any_delta),
            (Document, "check", check_nothing),
            (Document, "apply", apply_unchecked),
        ),
        "the version fell|applied twice|another content|tried again",
    ),
    "the base is not checked": Defect(
        (
            (Watch, "_handle_delta", apply_any_newer_delta),
            (Document, "check", check_nothing),
            (Document, "apply", apply_unchecked),
        ),
        "another content|to another version",
    ),
    "a delta's digest is not checked": Defect(((Document, "check", check_only_base),), "another content"),
    "a snapshot's digest is not checked": Defect(
        ((snapshot_fetch, "decode_snapshot", decode_without_digest), (Document, "check", check_only_base)),
        "another content",
    ),
    "half a change is in force": Defect(
        ((RecordingApplier, "apply", apply_resource_by_resource),), "half a change is in force"
    ),
    "the document changes before it is accepted": Defect(
        ((Watch, "_apply", change_document_before_it_is_accepted),), "half a change is in force"
    ),
    "a refused version is acknowledged": Defect(
        ((Watch, "_poll_message", acknowledge_refused_version),), "acknowledged, not in force"
    ),
    "a refused version is tried again": Defect(
        ((Watch, "_is_refused", lambda self, version: False),), "tried again"
    ),
    "a request id is forgotten": Defect(
        ((ConfigurationStore, "_remember", lambda self, result: None),), "another answer than before"
    ),
    "compare-and-set is not done": Defect(
        ((ConfigurationStore, "_apply_change", apply_without_comparing),), "another answer than before"
    ),
    "a lost push is never repaired": Defect(
        ((Fanout, "_answer", lambda self, sender, session, poll, now: self._notify(sender)),),
        "it never gets the newest version",
    ),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_the_check_finds_each_planted_defect(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    for owner, attribute, planted in DEFECTS[name].patches:
        monkeypatch.setattr(owner, attribute, planted)
    with pytest.raises(AssertionError, match=DEFECTS[name].expected_text):
        run_state_machine_as_test(ControlPlane, settings=FIND)


def test_the_check_finds_a_version_that_falls(monkeypatch: pytest.MonkeyPatch) -> None:
    """A sender is cut off from the node with version 2, and watches a node with version 1 next."""
    for owner, attribute, planted in DEFECTS["an older version is accepted"].patches:
        monkeypatch.setattr(owner, attribute, planted)
    check = ControlPlane()
    for _ in range(2):
        check.change(name="x", value=VALUES[len(check.log)], behind=0)
    for node, count in zip(check.nodes, (2, 1, 1, 1), strict=False):
        check.node_applies(name=node, count=count)
    check.advance_one_second()
    with pytest.raises(AssertionError, match="the version fell"):
        for _ in range(20):
            check.sender_is_cut_off(name="s1")
            check.advance_one_second()
