"""Names in settings, output lines, commands and reports are unchanged: samples equal the recorded ones."""

from collections.abc import Callable

import pytest

from compatibility import samples
from compatibility.outward_names import OUTWARD_SAMPLES, Sample


@pytest.mark.parametrize("make", OUTWARD_SAMPLES, ids=lambda make: make.__name__)
def test_names_are_equal_to_the_recorded_sample(make: Callable[[], Sample]) -> None:
    written, recorded = make(), samples.read_recorded(make)
    assert recorded and written.keys() == recorded.keys()
    for name, data in recorded.items():
        assert written[name] == data, name
