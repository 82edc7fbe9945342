"""`with-env`: concurrent first runs create one environment."""

import os
import shutil
import subprocess
from pathlib import Path

ROOT = Path(__file__).parent.parent
PYTHON = """#!/usr/bin/env bash
# Replaces `python3 -m venv FOLDER`: records the call in `created`, and waits for a line in the pipe
# `proceed`.
mkdir -p "$3/bin"
printf '#!/bin/sh\nexit 0\n' > "$3/bin/pip"
chmod +x "$3/bin/pip"
echo created >> created
read -r _ < proceed
"""


def test_two_concurrent_first_runs_create_one_environment_and_both_run(tmp_path: Path) -> None:
    shutil.copy(ROOT / "with-env", tmp_path)
    for name in ("requirements.txt", "requirements-dev.txt", "pyproject.toml"):
        (tmp_path / name).write_text("")
    (tmp_path / "bin").mkdir()
    (tmp_path / "bin" / "python3").write_text(PYTHON)
    (tmp_path / "bin" / "python3").chmod(0o755)
    os.mkfifo(tmp_path / "proceed")
    env = os.environ | {"PATH": f"{tmp_path / 'bin'}:{os.environ['PATH']}"}
    command = [str(tmp_path / "with-env"), "echo", "ran"]
    runs = [
        subprocess.Popen(command, cwd=tmp_path, stdout=subprocess.PIPE, text=True, env=env) for _ in range(2)
    ]
    # Opening the pipe blocks until a run reads it; by then both runs have been started.
    (tmp_path / "proceed").write_text("go\n")
    assert [run.communicate(timeout=30)[0] for run in runs] == ["ran\n", "ran\n"]
    assert (tmp_path / "created").read_text() == "created\n"
