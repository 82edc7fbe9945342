"""Bytes that Python objects take, by tracemalloc: what libraries allocate outside of Python is not in it."""

import gc
import tracemalloc
from collections.abc import Iterator
from contextlib import contextmanager


class TracedMemory:
    """Bytes that are allocated within the block and still there at its end."""

    allocated = 0


@contextmanager
def traced_memory() -> Iterator[TracedMemory]:
    """Counts what the block allocates and keeps. Blocks cannot be nested."""
    traced = TracedMemory()
    gc.collect()
    tracemalloc.start()
    try:
        yield traced
        gc.collect()
        traced.allocated = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
