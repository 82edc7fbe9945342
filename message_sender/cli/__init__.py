"""The command line: `message-sender --help`.

Exit codes: 0 success, 1 failure, 2 wrong usage. The module of a command is imported when the command runs, so
that a command needs only its own extras of the package. `python -m message_sender` without arguments starts
the platform's daemon and does not import this package.
"""

import importlib
import sys
from collections.abc import Sequence

PROGRAM = "message-sender"

#: By command: the module that defines the command, and the extra that it needs in addition to `cli`.
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
        """Imports a command's module when the command is looked up."""

        def list_commands(self, ctx: click.Context) -> list[str]:
            """Returns the names of all commands, sorted."""
            return sorted(COMMANDS)

        def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
            """Returns a command; None for an unknown name.

            Raises:
                click.ClickException: A library that the command needs is missing.
            """
            if cmd_name not in COMMANDS:
                return None
            module, extra = COMMANDS[cmd_name]
            try:
                command = getattr(importlib.import_module(module), cmd_name)
            except ImportError as error:
                requirement = f"message-sender[cli,{extra}]" if extra else "message-sender[cli]"
                raise click.ClickException(f"{error}; pip install '{requirement}'") from None
            assert isinstance(command, click.Command)
            return command

    @click.group(cls=Commands, context_settings={"help_option_names": ["-h", "--help"]})
    @click.version_option(package_name="message-sender", prog_name=PROGRAM)
    def root_command() -> None:
        """Deliver messages to endpoints without loss or duplicate effects.

        Shell completion: eval "$(_MESSAGE_SENDER_COMPLETE=bash_source message-sender)"
        """


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs a command and returns its exit code.

    Args:
        arguments: The arguments without the program name; None for the arguments of the process.
    """
    if click is None:
        print(f"{PROGRAM}: the command line needs click; pip install 'message-sender[cli]'", file=sys.stderr)
        return 1
    try:
        root_command(list(sys.argv[1:] if arguments is None else arguments), prog_name=PROGRAM)
    except SystemExit as exit_request:
        return int(exit_request.code or 0)
    return 0


def deprecated_main() -> int:
    """Runs a command under the deprecated program name `elmglade`, which is kept for one release."""
    print(f"elmglade: this command is now {PROGRAM}; the next release removes the old name", file=sys.stderr)
    return main()


if __name__ == "__main__":
    sys.exit(main())
