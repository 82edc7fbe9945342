"""The command line: `elmglade serve|check|demo`. Without arguments `python -m elmglade` is the platform's."""

import argparse
import asyncio
import logging
import sys
from collections.abc import Sequence
from pathlib import Path

from elmglade.config import ConfigError, load


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
    demo = commands.add_parser("demo", help="stand-ins and one sender, through an outage and back")
    demo.add_argument("--pace", type=float, default=1.0, help="of its usual length of 30 s; 0.1 to 1.2")
    demo.add_argument("--rate", type=float, default=40.0, help="commands a second, 1 to 200")
    demo.add_argument("--seed", type=int, default=1)
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
        if options.answers is None:
            return asyncio.run(run(options.config, config, state, sys.stdout))
        with options.answers.open("a") as out:
            return asyncio.run(run(options.config, config, state, out))
    except ConfigError as error:
        for fault in error.faults:
            print(f"elmglade: configuration: {fault}", file=sys.stderr)
    except OSError as error:
        print(f"elmglade: {error}", file=sys.stderr)
    return 1


def main(words: Sequence[str] | None = None) -> int:
    """Runs a command; the answer is the exit code: 0 well, 1 not, 2 misused."""
    options = parser().parse_args(words)
    if options.command == "check":
        return check(options.file)
    if options.command == "serve":
        return serve(options)
    from elmglade.lab.demo import demo

    if not 0.1 <= options.pace <= 1.2 or not 1 <= options.rate <= 200:
        print("elmglade: --pace is from 0.1 to 1.2, --rate from 1 to 200", file=sys.stderr)
        return 2
    return demo(options.pace, options.rate, options.seed, plain=options.plain)


if __name__ == "__main__":
    sys.exit(main())
