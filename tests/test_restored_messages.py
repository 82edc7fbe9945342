"""The operators' terms on restarts: restored messages are attempted, and repeats keep to a window of 1 s."""

import pytest
from helpers import MS, SECOND, World, endpoint, rejected_or_failed, sent_messages

from message_sender.policy.events import MessageAccepted, MessageRestored
from message_sender.policy.model import Effect, MessageClass


@pytest.mark.parametrize("fleet", [1, 4, 40])
@pytest.mark.parametrize("destination", [1, 3])
def test_restored_messages_are_not_shed_before_seven_tenths_of_their_lifetime(
    fleet: int, destination: int
) -> None:
    """The queue is full at the start and a dozen new messages arrive; destination 3 is no longer listed."""
    world = World(endpoint("a"), endpoint("b", destination=2), max_open=6, slots=1, fleet_size=fleet)
    accepted = [MessageAccepted(f"k{each}", "safe", destination, 20 * SECOND) for each in range(6)]
    completed = rejected_or_failed(world.step(*[MessageRestored(each, 0, None, "") for each in accepted]))
    for _ in range(13):
        completed += rejected_or_failed(world.accept(destination=2, after=SECOND))
    assert not [each for each in completed if each.message.startswith("k")]
    late = rejected_or_failed(world.accept(destination=2, after=2 * SECOND))
    assert [each for each in late if each.message.startswith("k")]


@pytest.mark.parametrize(
    ("age", "is_sent"), [(100 * MS, True), (730 * MS, True), (750 * MS, False), (2 * SECOND, False)]
)
@pytest.mark.parametrize("checked", ["at once", "as its connection is up"])
def test_an_attempt_in_flight_at_a_restart_is_repeated_only_within_a_window_of_1_s(
    age: int, is_sent: bool, checked: str
) -> None:
    """The parameter `age` is the time since the attempt whose result the earlier process did not learn.

    The limit is the window of 1 s less two ticks and less an eighth of the latency objective, which is the
    expected time of the call: 0.74 s.
    """
    kind = MessageClass("short", 2 * SECOND, 20 * SECOND, 1.0, 0.3, Effect.KEYED, idempotency_window=SECOND)
    world = World(classes=(kind,))
    world.now = 100 * SECOND
    since = world.now - (age if checked == "at once" else 0)
    accepted = MessageAccepted("k", "short", 1, 10 * SECOND)
    actions = world.step(MessageRestored(accepted, 1, since, "z1"))
    if checked == "at once":
        assert (sent_messages(actions) == ["k"]) == is_sent and bool(rejected_or_failed(actions)) != is_sent
        return
    # Connecting takes time, so the clock is read again before the first byte.
    assert sent_messages(actions) == ["k"]
    assert world.dispatcher.may_start_call("a", world.now + age, "k") == is_sent
