"""The operators' terms on restarts: what was found is still tried, and repeats keep to a window of 1 s."""

import pytest
from helpers import MS, SECOND, World, ended, endpoint, sent

from message_sender.policy.events import MessageAccepted, MessageRestored
from message_sender.policy.model import Effect, MessageClass


@pytest.mark.parametrize("fleet", [1, 4, 40])
@pytest.mark.parametrize("destination", [1, 3])
def test_what_a_start_found_is_not_returned_for_room_before_seven_tenths_of_its_time(
    fleet: int, destination: int
) -> None:
    """A room that is full at the start, and new messages by the dozen; the list has lost destination 3."""
    world = World(endpoint("a"), endpoint("b", destination=2), max_open=6, slots=1, fleet_size=fleet)
    kept = [MessageAccepted(f"k{each}", "safe", destination, 20 * SECOND) for each in range(6)]
    gone = ended(world.step(*[MessageRestored(each, 0, None, "") for each in kept]))
    for _ in range(13):
        gone += ended(world.take(destination=2, after=SECOND))
    assert not [each for each in gone if each.message.startswith("k")]
    late = ended(world.take(destination=2, after=2 * SECOND))
    assert [each for each in late if each.message.startswith("k")]


@pytest.mark.parametrize(
    ("age", "goes"), [(100 * MS, True), (730 * MS, True), (750 * MS, False), (2 * SECOND, False)]
)
@pytest.mark.parametrize("first", ["at once", "as its connection is up"])
def test_what_was_out_at_a_restart_goes_again_only_inside_a_window_of_1_s(
    age: int, goes: bool, first: str
) -> None:
    """`age`: since the attempt of which the process before does not know the fate. The edge is 1 s less two
    ticks and an eighth of the aim, for the call's own way: 0.74 s."""
    kind = MessageClass("short", 2 * SECOND, 20 * SECOND, 1.0, 0.3, Effect.KEYED, idempotency_window=SECOND)
    world = World(classes=(kind,))
    world.now = 100 * SECOND
    since = world.now - (age if first == "at once" else 0)
    kept = MessageAccepted("k", "short", 1, 10 * SECOND)
    actions = world.step(MessageRestored(kept, 1, since, "z1"))
    if first == "at once":
        assert (sent(actions) == ["k"]) == goes and bool(ended(actions)) != goes
        return
    assert sent(actions) == ["k"]  # its connection takes a while: the clock is read again at the first byte
    assert world.dispatcher.may_start_call("a", world.now + age, "k") == goes
