"""The work for an endpoint list is in proportion to its size, however it is laid out."""

import json
from collections.abc import Callable
from typing import Any

import pytest
from peers import host

from message_sender.http.json_stream import DECODER, JsonStream


def list_text(entries: int, indent: int | None = None) -> str:
    """A complete list, which ends with its line."""
    hosts = [host(f"127.1.{each >> 8}.{each & 255}:3000", f"s-{each}") for each in range(entries)]
    return json.dumps({"seq": 42, "whole": True, "hosts": hosts}, indent=indent) + "\n"


def comma_in_front(entries: int) -> str:
    """A list in which each line but the first ends an object."""
    first, *others = json.loads(list_text(entries))["hosts"]
    lines = [f'{{"seq":42,"whole":true,"hosts":[{json.dumps(first)}', *(f",{json.dumps(x)}" for x in others)]
    return "\n".join(lines) + "\n]}\n"


LAYOUTS: dict[str, Callable[[int], str]] = {
    "compact": list_text,
    "indented": lambda entries: list_text(entries, indent=4),
    "a comma in front": comma_in_front,
}


class CountingDecoder:
    """Counts the bytes that are given to the JSON decoder."""

    def __init__(self) -> None:
        self.size = 0

    def raw_decode(self, text: str) -> tuple[Any, int]:
        self.size += len(text)
        return DECODER.raw_decode(text)


@pytest.mark.parametrize("entries", [200, 3200, 25_600])
@pytest.mark.parametrize("layout", LAYOUTS.values(), ids=LAYOUTS)
def test_the_work_for_a_list_is_linear_in_its_size(
    layout: Callable[[int], str], entries: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    decoder = CountingDecoder()
    monkeypatch.setattr("message_sender.http.json_stream.DECODER", decoder)
    data = layout(entries).encode()
    stream, found = JsonStream(len(data)), []
    for start in range(0, len(data), 65_536):
        found += list(stream.feed(data[start : start + 65_536]))
    assert [len(each["hosts"]) for each in found] == [entries]
    assert decoder.size <= 2 * len(data)


@pytest.mark.parametrize("name", ['}"{', "\\", '\\"]', "[[[", '"'])
def test_brackets_in_strings_do_not_end_an_object(name: str) -> None:
    fields = {"seq": 1, "hosts": [{"host": name, "n": {}}, {name: []}]}
    stream = JsonStream(10_000)
    for indent in (None, 1):
        data = json.dumps(fields, indent=indent).encode() + b"\n\n"
        assert list(stream.feed(data)) == [fields, None]
