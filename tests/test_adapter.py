"""The adapter's line protocol: round trips, order within a batch and malformed input."""

import io
import json
import subprocess
import sys
from pathlib import Path

import pytest
from helpers import ENV

from message_sender.adapter import Adapter, WireError

ROOT = Path(__file__).parent.parent
START = [
    "sync wall=1000 seq=1",
    f"power_on who=sender-0 nonce64=5 env={json.dumps(ENV)}",
    "sheet table=0 elements=1",
    "receiver receiver=10.0.0.1:1 destination=3 state=1 scale=1 generation_hw=k dc=z",
    "view who=sender-0 how=1 seq_no=1 table=0",
    "req who=sender-0 ref=rq_a service=c time_left=8000000 dest=3 bitmap=0",
    "over_to_you",
]


def replies(lines: list[str]) -> list[str]:
    sink = io.StringIO()
    Adapter(io.StringIO("\n".join(lines) + "\n"), sink).run()
    return sink.getvalue().splitlines()


def test_a_message_is_sent_and_its_result_is_read() -> None:
    answer = "answer who=sender-0 ref=rq_a go=0 receiver=10.0.0.1:1 outcome=OK lag=5 finished=1"
    lines = replies([*START, "sync wall=9000 seq=2", answer, "over_to_you"])
    assert "place who=sender-0 ref=rq_a give_up_after=8000000 receiver=10.0.0.1:1" in lines
    assert [line for line in lines if line.startswith("end")] == ["end seq=1", "end seq=2"]


def test_sheet_number_is_resolved_in_the_order_of_events() -> None:
    other = "receiver receiver=10.0.0.2:1 destination=3 state=1"
    lines = [*START[:5], "sheet table=0 elements=1", other, *START[5:]]
    assert any("receiver=10.0.0.1:1" in line for line in replies(lines))


def test_nothing_happens_for_a_destroyed_instance() -> None:
    lines = [*START[:-1], "destroy who=sender-0", "over_to_you"]
    assert replies(lines) == ["end seq=1"]


@pytest.mark.parametrize(
    ("line", "error_text"),
    [
        ("req who=sender-0 ref=rq_b service=c dest=3", "time_left"),
        ("req who=sender-0 ref=rq_b service=c time_left=soon dest=3", "time_left"),
        ("surprise who=sender-0", "unknown event"),
        ("lapsed ref", "name=value"),
        ("lapsed who=sender-9 ref=rq_a", "not running"),
        ("answer who=sender-0 ref=rq_a go=0 outcome=MAYBE", "outcome"),
    ],
)
def test_malformed_input_names_line_and_field(line: str, error_text: str) -> None:
    with pytest.raises(WireError, match=error_text) as caught:
        replies([*START[:-1], line, "over_to_you"])
    assert "line 7" in str(caught.value)


def test_an_error_in_the_policy_is_reported_by_a_panic_line() -> None:
    lines = [*START[:-1], START[5], "over_to_you"]
    assert any(line.startswith("panic who=sender-0 message=ValueError") for line in replies(lines))


def test_the_replies_of_the_process_do_not_depend_on_the_hash_seed() -> None:
    runs = [
        subprocess.run(
            [sys.executable, "-m", "message_sender.adapter"],
            input="\n".join(START) + "\n",
            capture_output=True,
            text=True,
            cwd=ROOT,
            env={"PYTHONHASHSEED": seed},
            check=True,
        ).stdout
        for seed in ("1", "2")
    ]
    assert runs[0] == runs[1] != ""


def test_malformed_input_ends_the_process_with_one_error_line() -> None:
    command = [sys.executable, "-m", "message_sender.adapter"]
    process = subprocess.run(command, input="hello\n", capture_output=True, text=True, cwd=ROOT)
    assert process.returncode != 0 and process.stdout == "" and len(process.stderr.splitlines()) == 1
