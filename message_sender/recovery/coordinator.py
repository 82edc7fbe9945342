"""Connects one sender's engine to the recovery stages and to the fleet's link.

Observations of the engine are announced to the fleet, and the permissions of the stages are applied to the
engine (pacing.py). `may_call` is checked once more immediately before the first byte of a call.
"""

import logging
from collections.abc import Callable
from dataclasses import replace

from message_sender.fleet.announcements import Announcement
from message_sender.fleet.members import MemberState
from message_sender.fleet.node import FleetNode
from message_sender.policy.events import InheritedState
from message_sender.policy.model import FAILURES, Outcome, Settings
from message_sender.recovery.announcement_codec import decode_announcement, encode_announcement
from message_sender.recovery.engine_port import EnginePort
from message_sender.recovery.id_inquiry import Inquiry, answer_question
from message_sender.recovery.pacing import BreakerPacer
from message_sender.recovery.stage_model import Stage, StageAnnouncement
from message_sender.recovery.stages import Stages, announcement_interval_s

PERMISSION_INTERVAL_S = 0.1  # between two updates of the permissions
ADOPTION_WINDOW_S = 30.0  # after a start, in which endpoints that others keep out of service are adopted
STEADY_ANNOUNCEMENT_INTERVAL_S = 2.0  # of a member in the stage open that has observed no destination down
US_PER_S = 1e6

log = logging.getLogger(__name__)


def ignore_stage(stage: Stage) -> None:
    """The listener that ignores a new stage."""


class Coordinator:
    """The recovery of one sender.

    Attributes:
        node: The link to the fleet.
        engine: The sender's engine.
        clock: Returns the time in seconds.
        stages: The recovery stages of this member.
        inquiry: This member's questions about ids of owed messages.
        pacer: Translates permissions into states of breakers.
        class_ranks: The ranks of the classes by priority weight, 0 for the highest, by class name.
        on_stage_changed: Called with each new stage.
    """

    def __init__(
        self, node: FleetNode, engine: EnginePort, settings: Settings, clock: Callable[[], float]
    ) -> None:
        """Begins the inquiry, and registers for announcements, questions and answers of the link."""
        now = clock()
        self.node = node
        self.engine = engine
        self.clock = clock
        self.stages = Stages(node.me.name, node.me.size, now)
        self.inquiry = Inquiry(engine.restored_ids())
        self.pacer = BreakerPacer(self.stages, engine, settings)
        self.class_ranks = rank_classes(settings)
        self.on_stage_changed: Callable[[Stage], None] = ignore_stage
        self._next_permissions_at = now
        self._next_announcement_at = now
        node.on_announcement = self.announcement_received
        node.on_query = self._answer_question
        node.on_query_reply = self.id_answer_received

    # Calls from the link.

    def announcement_received(self, name: str, announcement: Announcement) -> None:
        """Handles another member's announcement; a malformed one is logged and ignored."""
        received = decode_announcement(announcement.text)
        if received is None:
            log.warning("stage announcement malformed: member=%s", name)
            return
        is_first = name not in self.stages.announcements
        self.stages.receive_announcement(name, received, announcement.received_at)
        is_past_inquiry = self.stages.stage > Stage.INQUIRING
        if is_first and is_past_inquiry and self.clock() < self.stages.started_at_s + ADOPTION_WINDOW_S:
            self.adopt_out_of_service(name, received)

    def _answer_question(self, name: str, question: bytes) -> bytes | None:
        return answer_question(question, self.engine.id_state)

    def id_answer_received(self, name: str, piece: int, content: bytes) -> None:
        """Handles an answer about ids; after the inquiry it is ignored, because calls may be in flight."""
        if self.stages.stage > Stage.INQUIRING:
            return
        for message_id, state in self.inquiry.receive_answer(name, piece, content).items():
            log.warning(
                "message may have run at another member: id=%s member=%s state=%s",
                message_id,
                name,
                state.name.lower(),
            )
            self.engine.mark_doubtful(message_id)

    def adopt_out_of_service(self, name: str, announcement: StageAnnouncement) -> None:
        """Adopts what another member keeps out of service: this member's disk may have lost the record."""
        own = self.engine.out_of_service()
        for endpoint, duration_s in announcement.out_of_service_s.items():
            if endpoint not in own:
                self.engine.take_out_of_service(endpoint, duration_s, name)

    def send_inquiries(self, now: float) -> None:
        """Sends the other members the questions that are due about ids of messages that are owed here."""
        others = self.node.others()
        for member, piece, content in self.inquiry.due_questions(others, now):
            self.node.send_query(piece, [member], content)
        self.stages.unanswered_questions = self.inquiry.count_unanswered(others)

    def step(self, now: float) -> None:
        """Inquires, enters due stages, applies permissions and announces; called several times a second."""
        if self.stages.stage <= Stage.INQUIRING:
            self.send_inquiries(now)
        if now < self._next_permissions_at:
            return
        self._next_permissions_at = now + PERMISSION_INTERVAL_S
        others = self.node.members.others.values()
        removed = {member.name for member in others if member.state >= MemberState.DEAD}
        self.stages.remove_members(removed & self.stages.announcements.keys())
        self._update_stages(now)
        self.apply_permissions(now)
        self.announce(now)

    def _update_stages(self, now: float) -> None:
        """Enters all stages that are due."""
        previous = self.stages.stage
        self.stages.update(self.engine.owed_counts(), now)
        while self.stages.stage is not previous:
            if previous is Stage.INQUIRING:
                for name, announcement in sorted(self.stages.announcements.items()):
                    self.adopt_out_of_service(name, announcement)
            previous = self.stages.stage
            log.info("stage entered: stage=%s reason=%s", previous.label, self.stages.reason)
            self.on_stage_changed(previous)
            self.stages.update(self.stages.owed_counts, now)

    def announce(self, now: float, at_once: bool = False) -> None:
        """Announces this member if that is due, or in any case with `at_once`."""
        if not at_once and now < self._next_announcement_at:
            return
        interval_s = announcement_interval_s(len(self.stages.announcements))
        is_all_up = all(evidence.is_up for evidence, _ in self.stages.own_evidence.values())
        if self.stages.stage is Stage.OPEN and is_all_up:
            interval_s = STEADY_ANNOUNCEMENT_INTERVAL_S
        self._next_announcement_at = now + interval_s
        out_of_service_s = self.engine.out_of_service()
        announcement = replace(self.stages.announcement(now), out_of_service_s=out_of_service_s)
        self.node.publish(encode_announcement(announcement), now)

    # Calls from the engine.

    def apply_permissions(self, now: float) -> None:
        """Passes the permissions for all destinations with owed messages to the policy."""
        if self.stages.stage <= Stage.INQUIRING:
            return
        states = [state for each in self.stages.owed_counts for state in self.pacer.breaker_states(each, now)]
        if states:
            self.engine.inherit_state(InheritedState(breakers=tuple(states)))

    def message_admitted(self, destination: int) -> None:
        """Applies the destination's permissions before an accepted message can be sent to it."""
        if destination not in self.stages.owed_counts:
            self.stages.owed_counts[destination] = 1
            if states := tuple(self.pacer.breaker_states(destination, self.clock())):
                self.engine.inherit_state(InheritedState(breakers=states))

    def may_call(self, destination: int) -> bool:
        """Whether a call is allowed; checked immediately before its first byte is sent."""
        return self.stages.permission(destination, self.clock()).may_call

    def call_started(self, destination: int) -> None:
        """Records and announces a trial if the call that starts is one."""
        now = self.clock()
        is_trial = self.stages.permission(destination, now).is_trial
        if is_trial and destination not in self.stages.own_trials:
            self.stages.start_trial(destination, self.clock())
            self.announce(self.clock(), at_once=True)

    def call_finished(self, destination: int, outcome: Outcome) -> None:
        """Records what a call's outcome shows of the destination, and announces a change at once."""
        was_trial = destination in self.stages.own_trials
        if outcome in (Outcome.OK, Outcome.FULL):
            is_up = True
        elif outcome in FAILURES and (was_trial or self.engine.has_open_breaker(destination)):
            is_up = False
        else:
            self.stages.own_trials.pop(destination, None)
            return
        before = self.stages.best_evidence(destination, self.clock())
        retry_after_s = before.retry_after_s if before else 0.0
        self.stages.record_call_result(destination, is_up, self.clock(), retry_after_s)
        if was_trial or before is None or before.is_up is not is_up:
            state = "up" if is_up else "down"
            log.info("destination observed: destination=%d state=%s trial=%s", destination, state, was_trial)
            self._next_permissions_at = self.clock()
            self.announce(self.clock(), at_once=True)

    def retry_after_received(self, destination: int, retry_after_us: int) -> None:
        """Records and announces the Retry-After, in microseconds, of a response of the destination."""
        self.stages.record_retry_after(destination, retry_after_us / US_PER_S, self.clock())
        self.announce(self.clock(), at_once=True)

    def admission_delay_us(self, destination: int, message_class: str) -> int:
        """Returns after how many microseconds a client may retry a new message; 0: it is admitted now."""
        rank = self.class_ranks.get(message_class, 0)
        return int(self.stages.admission_delay_s(destination, rank, self.clock()) * US_PER_S)


def rank_classes(settings: Settings) -> dict[str, int]:
    """Returns the rank of each class by its priority weight, 0 for the highest, by class name."""
    weights = sorted({each.priority_weight for each in settings.classes}, reverse=True)
    return {each.name: weights.index(each.priority_weight) for each in settings.classes}
