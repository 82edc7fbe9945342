"""The operators' terms on restarts: what was found is still tried, and repeats keep to a window of 1 s."""

import pytest
from helpers import SECOND, World, ended, endpoint

from elmglade import interface as face


@pytest.mark.parametrize("fleet", [1, 4, 40])
@pytest.mark.parametrize("destination", [1, 3])
def test_what_a_start_found_is_not_returned_for_room_before_seven_tenths_of_its_time(
    fleet: int, destination: int
) -> None:
    """A room that is full at the start, and new messages by the dozen; the list has lost destination 3."""
    world = World(endpoint("a"), endpoint("b", destination=2), max_open=6, slots=1, fleet_size=fleet)
    kept = [face.MessageTaken(f"k{each}", "safe", destination, 20 * SECOND) for each in range(6)]
    gone = ended(world.step(*[face.MessageRestored(each, 0, None, "") for each in kept]))
    for _ in range(13):
        gone += ended(world.take(destination=2, after=SECOND))
    assert not [each for each in gone if each.message.startswith("k")]
    late = ended(world.take(destination=2, after=2 * SECOND))
    assert [each for each in late if each.message.startswith("k")]
