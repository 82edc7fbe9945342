"""The status of recovery as JSON, as `message-sender fleet status` reads it.

The keys of the dictionaries are an output format: they don't follow the names in the code.
"""

from message_sender.recovery.coordinator import Coordinator
from message_sender.recovery.stages import Stages

TRIAL_CANDIDATES_SHOWN = 3


def recovery_status(coordinator: Coordinator) -> dict[str, object]:
    """Returns the status of the members, their stages and the destinations."""
    now = coordinator.clock()
    stages = coordinator.stages
    node = coordinator.node
    doubtful = coordinator.inquiry.known_elsewhere
    return {
        "name": stages.own_name,
        "members": _members(coordinator, now),
        "behind": node.is_behind,
        "namesake": node.duplicate_name_address,
        "refused": dict(node.counters.refused),
        "sent": node.counters.sent,
        "heard": node.counters.received,
        "doubtful": {message_id: [member, state.label] for message_id, (member, state) in doubtful.items()},
        "destinations": {str(number): _destination(stages, number, now) for number in _numbers(stages)},
        "history": [
            [round(at - stages.started_at_s, 3), stage.label, reason] for at, stage, reason in stages.changes
        ],
    }


def _members(coordinator: Coordinator, now: float) -> dict[str, object]:
    stages = coordinator.stages
    members: dict[str, object] = {
        stages.own_name: {
            "stage": stages.stage.label,
            "since_s": round(now - stages.stage_since_s, 3),
            "why": stages.reason,
            "owed": sum(stages.owed_counts.values()),
            "state": "alive",
            "said_s": 0.0,
        }
    }
    for name, member in sorted(coordinator.node.members.others.items()):
        announcement = stages.announcements.get(name)
        members[name] = {
            "stage": announcement.stage.label if announcement else "unknown",
            "owed": sum(announcement.owed_counts.values()) if announcement else None,
            "state": member.state.name.lower(),
            "said_s": round(now - stages.announced_at_s[name], 3) if announcement else None,
        }
    return members


def _numbers(stages: Stages) -> list[int]:
    """Returns the numbers of all destinations with owed messages here or with evidence, in order."""
    numbers = {*stages.owed_counts, *stages.own_evidence}
    for announcement in stages.announcements.values():
        numbers |= announcement.evidence.keys()
    return sorted(numbers)


def _destination(stages: Stages, number: int, now: float) -> dict[str, object]:
    evidence = stages.best_evidence(number, now)
    trial_members = [name for name, each in stages.announcements.items() if number in each.trial_ages_s]
    if number in stages.own_trials:
        trial_members.append(stages.own_name)
    return {
        "up": evidence.is_up if evidence else None,
        "age_s": round(evidence.age_s, 3) if evidence else None,
        "wait_s": round(evidence.retry_after_s, 3) if evidence else 0.0,
        "owed_here": stages.owed_counts.get(number, 0),
        "tried_by": trial_members,
        "next_to_try": stages.trial_candidates(number)[:TRIAL_CANDIDATES_SHOWN],
    }
