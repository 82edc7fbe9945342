"""The command line: `elmglade serve|check|destinations|emulate|pcap|demo`.

Without arguments `python -m elmglade` is the platform's.
"""

import argparse
import asyncio
import contextlib
import json
import logging
import sys
from collections import Counter
from collections.abc import Iterator, Sequence
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING

from elmglade.config import ConfigError, General, load

if TYPE_CHECKING:
    from elmglade.pcap.tap import Tap


#: Commands that ask a running sender over its control socket.
CONTROLS = {
    "override": "out of service, weights and pins of a running sender, each with an end",
    "endpoints": "what a running sender believes of each endpoint",
    "explain": "where a message would go now, and why not elsewhere",
}


def parser() -> argparse.ArgumentParser:
    about = "A sender that loses nothing and repeats nothing."
    top = argparse.ArgumentParser(prog="elmglade", description=about)
    commands = top.add_subparsers(dest="command", required=True)
    serve = commands.add_parser("serve", help="run a sender without the platform")
    serve.add_argument("--config", type=Path, required=True, metavar="FILE", help="a TOML file")
    serve.add_argument("--state", type=Path, metavar="FOLDER", help="the lasting folder; else the file's")
    serve.add_argument("--answers", type=Path, metavar="FILE", help="final answers go there; else to stdout")
    check = commands.add_parser("check", help="name every fault of a configuration")
    check.add_argument("file", type=Path, metavar="FILE")
    kept = commands.add_parser("destinations", help="what a sender keeps for each destination")
    kept.add_argument("path", type=Path, metavar="PATH", help="its state folder, or a file from there")
    states = "only those: open, half-open, waits, warming, closed, asleep, listed"
    kept.add_argument("--state", metavar="STATE", help=states)
    kept.add_argument("--most", type=int, default=50, help="rows at the most, the most troubled first")
    kept.add_argument("--json", action="store_true", help="all of it as JSON lines")
    lives = commands.add_parser("emulate", help="lives of a sender in simulated time; exit 1 if a rule broke")
    lives.add_argument("--lives", type=int, default=100, help="how many, one a seed")
    lives.add_argument("--seed", type=int, default=0, help="of the first one")
    lives.add_argument("--processes", type=int, default=1)
    lives.add_argument("--json", action="store_true", help="a JSON object for each broken life and the sums")
    lives.add_argument("--trace", type=Path, metavar="FILE", help="only the life of --seed, event by event")
    lives.add_argument("--shrink", type=Path, metavar="FILE", help="cut the broken life of --seed to a case")
    lives.add_argument("--case", type=Path, metavar="FILE", help="with --trace: the life of a case")
    for name, about in CONTROLS.items():
        commands.add_parser(name, help=about)
    commands.add_parser("pcap", help="packet captures as traffic: info, requests, diff, replay")
    demo = commands.add_parser("demo", help="stand-ins and one sender, through an outage and back")
    demo.add_argument("--pace", type=float, default=1.0, help="of its usual length of 30 s; 0.1 to 1.2")
    demo.add_argument("--rate", type=float, default=40.0, help="commands a second, 1 to 200")
    demo.add_argument("--seed", type=int, default=1)
    demo.add_argument("--pcap", type=Path, metavar="FILE", help="hand in the commands of a capture")
    demo.add_argument("--plain", action="store_true", help="plain lines also on a terminal")
    return top


def check(file: Path) -> int:
    try:
        config = load(file)
    except ConfigError as error:
        for fault in error.faults:
            print(fault)
        return 1
    except OSError as error:
        print(f"elmglade: {error}", file=sys.stderr)
        return 1
    classes = ", ".join(each.name for each in config.settings.classes)
    print(f"{file}: good; classes {classes}; {len(config.places)} endpoints")
    return 0


def serve(options: argparse.Namespace) -> int:
    from elmglade.http.serve import serve as run

    logging.basicConfig(
        level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    try:
        config = load(options.config)
        state = options.state or config.state
        if state is None:
            print("elmglade: neither the configuration nor --state names a state folder", file=sys.stderr)
            return 1
        state.mkdir(parents=True, exist_ok=True)
        with contextlib.ExitStack() as stack:
            out = stack.enter_context(options.answers.open("a")) if options.answers else sys.stdout
            tap = stack.enter_context(capturing(config)) if config.capture else None
            return asyncio.run(run(options.config, config, state, out, tap))
    except ConfigError as error:
        for fault in error.faults:
            print(f"elmglade: configuration: {fault}", file=sys.stderr)
    except OSError as error:
        print(f"elmglade: {error}", file=sys.stderr)
    return 1


@contextlib.contextmanager
def capturing(config: General) -> Iterator["Tap"]:
    """Has the sender's traffic written as capture files while it is held."""
    from elmglade.pcap.tap import Tap

    assert config.capture
    to = config.capture
    tap = Tap(to.folder, to.most_bytes, to.files, to.blank)
    try:
        yield tap
    finally:
        tap.close()


def destinations(options: argparse.Namespace) -> int:
    """Prints what a sender wrote on SIGUSR1."""
    from dataclasses import asdict

    from elmglade.core.inventory import ORDER, read

    try:
        at, kept = read(options.path)
    except (OSError, ValueError) as error:
        print(f"elmglade: {error}", file=sys.stderr)
        return 1
    states = Counter(each.state for each in kept)
    kept = [each for each in kept if options.state in (None, each.state)]
    if options.json:
        for each in kept:
            print(json.dumps(asdict(each)))
        return 0
    rank = {state: place for place, state in enumerate(ORDER)}
    kept.sort(key=lambda each: (rank.get(each.state, len(rank)), -each.held, each.number))
    when = datetime.fromtimestamp(at, UTC).isoformat(timespec="seconds")
    told = ", ".join(f"{count} {state}" for state, count in sorted(states.items()))
    size = sum(each.bytes for each in kept)
    count = sum(states.values())
    print(f"{when}: {count} destinations ({told or 'none'}); {size:,} bytes of those asked for")
    names = ("number", "state", "endpoints", "held", "out", "silent s", "gap ms", "bytes")
    print("{:>9} {:<10} {:>9} {:>6} {:>4} {:>10} {:>8} {:>7}".format(*names))
    for each in kept[: max(options.most, 0)]:
        silent = "never" if each.silent_s is None else f"{each.silent_s:,.1f}"
        state = f"{each.number:>9} {each.state:<10} {each.endpoints:>9} {each.held:>6} {each.out:>4}"
        print(f"{state} {silent:>10} {each.gap_ms:>8.1f} {each.bytes:>7}")
    if (more := len(kept) - options.most) > 0:
        print(f"and {more} more; --most shows them")
    return 0


def emulate(options: argparse.Namespace) -> int:
    """Prints what came of the lives; 1 if a rule broke."""
    from elmglade.emulator.search import cut_down, search, show
    from elmglade.emulator.shrink import Case

    if options.lives < 1 or options.processes < 1:
        print("elmglade: --lives and --processes are 1 at least", file=sys.stderr)
        return 2
    try:
        if options.shrink:
            return cut_down(options.seed, options.shrink)
        case = Case.read(options.case) if options.case else Case(options.seed)
        if options.trace:
            return show(case, options.trace)
    except (OSError, ValueError) as error:
        print(f"elmglade: {error}", file=sys.stderr)
        return 1
    return search(options.seed, options.lives, options.processes, json_lines=options.json)


def run_click(words: list[str]) -> int:
    """These commands stand on a library that the daemon does without."""
    try:
        if words[0] == "pcap":
            from elmglade.cli.pcap import pcap as command

            words = words[1:]
        else:
            from elmglade.cli.override import commands as command
    except ImportError as error:
        print(f"elmglade: {error}; pip install 'elmglade[pcap]'", file=sys.stderr)
        return 1
    try:
        command(words, prog_name="elmglade pcap" if command.name == "pcap" else "elmglade")
    except SystemExit as ended:
        return int(ended.code or 0)
    return 0


def main(words: Sequence[str] | None = None) -> int:
    """Runs a command; the answer is the exit code: 0 well, 1 not, 2 misused."""
    told = sys.argv[1:] if words is None else list(words)
    if told[:1] == ["pcap"] or (told[:1] and told[0] in CONTROLS):
        return run_click(told)
    options = parser().parse_args(told)
    if options.command == "check":
        return check(options.file)
    if options.command == "serve":
        return serve(options)
    if options.command == "emulate":
        return emulate(options)
    if options.command == "destinations":
        return destinations(options)
    from elmglade.lab.demo import demo

    if not 0.1 <= options.pace <= 1.2 or not 1 <= options.rate <= 200:
        print("elmglade: --pace is from 0.1 to 1.2, --rate from 1 to 200", file=sys.stderr)
        return 2
    if options.pcap is None:
        return demo(options.pace, options.rate, options.seed, plain=options.plain)
    from elmglade.cli.commands import given_in
    from elmglade.pcap.files import BadCapture

    try:
        given = given_in(options.pcap)
    except (OSError, BadCapture) as error:
        print(f"elmglade: {options.pcap}: {error}", file=sys.stderr)
        return 1
    if not given:
        print(f"elmglade: {options.pcap} holds no command that is whole", file=sys.stderr)
        return 1
    return demo(options.pace, options.rate, options.seed, plain=options.plain, given=given)


if __name__ == "__main__":
    sys.exit(main())
