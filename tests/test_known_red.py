""".ci/known_red.py tolerates failures only of tests that are listed, collected and still failing."""

import importlib.util
import sys
from pathlib import Path

import pytest

FILE = Path(__file__).parent.parent / ".ci" / "known_red.py"
spec = importlib.util.spec_from_file_location("known_red", FILE)
assert spec and spec.loader
known_red = importlib.util.module_from_spec(spec)
spec.loader.exec_module(known_red)

TESTS = "def test_red(): assert False\ndef test_green(): pass\n"


@pytest.mark.parametrize(
    ("listed", "tests", "code"),
    [
        ("red", TESTS, 0),
        ("green", TESTS, 1),  # a listed test passes
        ("gone", TESTS, 1),  # a listed test is not collected
        ("red", TESTS + "def test_other(): assert False\n", 1),  # an unlisted test fails
        (None, TESTS, 1),
        (None, "def test_green(): pass\n", 0),
    ],
)
def test_only_listed_failing_tests_are_tolerated(
    listed: str | None, tests: str, code: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(tmp_path)
    (tmp_path / "test_some.py").write_text(tests)
    path = tmp_path / "KNOWN-RED.txt"
    if listed:
        path.write_text(f"test_some.py::test_{listed} | a fault | issue 1\n")
    runner = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    assert known_red.main(runner, path) == code


@pytest.mark.parametrize("text", ["a | b\n", "a | b | c | d\n", " | b | c\n", "a|b|c\n" * 4])
def test_a_malformed_or_too_long_list_is_rejected(text: str, tmp_path: Path) -> None:
    (tmp_path / "list").write_text(text)
    with pytest.raises(ValueError):
        known_red.read(tmp_path / "list")
