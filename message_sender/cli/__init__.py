"""The command line: `message-sender --help`.

Exit codes: 0 well, 1 not, 2 misused. A command's own module is imported when it is asked for, so that what
one needs (the extras of the package) is not needed by the others. Without arguments `python -m
message_sender` is the platform's, and nothing of this is imported.
"""

import importlib
import sys
from collections.abc import Sequence

PROGRAM = "message-sender"

#: Where each command stands, and the extra that it needs besides the command line's own.
COMMANDS = {
    "check": ("message_sender.cli.basic", ""),
    "control": ("message_sender.cli.control", "fleet"),
    "demo": ("message_sender.cli.basic", "demo"),
    "destinations": ("message_sender.cli.basic", ""),
    "emulate": ("message_sender.cli.emulate", "emulator"),
    "endpoints": ("message_sender.cli.override", ""),
    "explain": ("message_sender.cli.override", ""),
    "fleet": ("message_sender.cli.fleet", ""),
    "journal": ("message_sender.cli.journal", "fleet"),
    "override": ("message_sender.cli.override", ""),
    "pcap": ("message_sender.cli.pcap", "pcap"),
    "serve": ("message_sender.cli.basic", ""),
}

try:
    import click
except ImportError:  # the platform's environment
    click = None  # type: ignore[assignment]

if click:

    class Commands(click.Group):
        """Finds a command in its own module."""

        def list_commands(self, ctx: click.Context) -> list[str]:
            return sorted(COMMANDS)

        def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
            if cmd_name not in COMMANDS:
                return None
            module, extra = COMMANDS[cmd_name]
            try:
                found = getattr(importlib.import_module(module), cmd_name)
            except ImportError as error:
                wanted = f"message-sender[cli,{extra}]" if extra else "message-sender[cli]"
                raise click.ClickException(f"{error}; pip install '{wanted}'") from None
            assert isinstance(found, click.Command)
            return found

    @click.group(cls=Commands, context_settings={"help_option_names": ["-h", "--help"]})
    @click.version_option(package_name="message-sender", prog_name=PROGRAM)
    def root_command() -> None:
        """A sender that loses nothing and repeats nothing.

        Completion: eval "$(_MESSAGE_SENDER_COMPLETE=bash_source message-sender)"
        """


def main(words: Sequence[str] | None = None) -> int:
    """Runs a command; the answer is the exit code."""
    if click is None:
        print(f"{PROGRAM}: the command line needs click; pip install 'message-sender[cli]'", file=sys.stderr)
        return 1
    try:
        root_command(list(sys.argv[1:] if words is None else words), prog_name=PROGRAM)
    except SystemExit as ended:
        return int(ended.code or 0)
    return 0


def deprecated_main() -> int:
    """The command under its former name `elmglade`, kept for one release."""
    print(
        f"elmglade: this command is now {PROGRAM}; the old name goes with the next release", file=sys.stderr
    )
    return main()


if __name__ == "__main__":
    sys.exit(main())
