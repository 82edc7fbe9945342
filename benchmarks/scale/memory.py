"""Memory of Python objects by tracemalloc; allocations of libraries outside of Python are not counted."""

import gc
import tracemalloc
from collections.abc import Iterator
from contextlib import contextmanager


class TracedMemory:
    """Bytes that were allocated within the block and are still in use at its end."""

    allocated = 0


@contextmanager
def traced_memory() -> Iterator[TracedMemory]:
    """Counts the bytes that the block allocates and keeps. Blocks cannot be nested."""
    traced = TracedMemory()
    gc.collect()
    tracemalloc.start()
    try:
        yield traced
        gc.collect()
        traced.allocated = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
