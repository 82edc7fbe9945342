"""Ends the streams that tests leave open, before their event loop is closed.

A `StreamWriter` that is collected after its loop was closed raises in `__del__`, and pytest formats that
traceback with `ast.parse`. If the collection happens inside another `ast.parse`, CPython 3.11 ends that one
with `SystemError: AST constructor recursion depth mismatch`, in whichever test it is.
"""

import asyncio
import contextlib
import weakref
from collections.abc import Iterator
from typing import Any

import pytest

open_writers: weakref.WeakSet[asyncio.StreamWriter] = weakref.WeakSet()


def end_streams(loop: asyncio.AbstractEventLoop) -> None:
    """Aborts the transports of the streams of a loop that are still open."""
    for writer in list(open_writers):
        if writer._loop is loop and not writer.transport.is_closing():  # type: ignore[attr-defined]
            with contextlib.suppress(RuntimeError):
                writer.transport.abort()


@pytest.fixture(autouse=True, scope="session")
def streams_end_with_their_loop() -> Iterator[None]:
    create, close = asyncio.StreamWriter.__init__, asyncio.BaseEventLoop.close

    def create_and_note(self: asyncio.StreamWriter, *arguments: Any, **options: Any) -> None:  # noqa: ANN401
        create(self, *arguments, **options)
        open_writers.add(self)

    def end_streams_and_close(self: asyncio.BaseEventLoop) -> None:
        if not (self.is_closed() or self.is_running()):
            end_streams(self)
        close(self)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(asyncio.StreamWriter, "__init__", create_and_note)
        patch.setattr(asyncio.BaseEventLoop, "close", end_streams_and_close)
        yield
