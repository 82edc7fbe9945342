"""The command line: `elmglade --help`.

Exit codes: 0 well, 1 not, 2 misused. A command's own module is imported when it is asked for, so that what
one needs (the extras of the package) is not needed by the others. Without arguments `python -m elmglade` is
the platform's, and nothing of this is imported.
"""

import importlib
import sys
from collections.abc import Sequence

#: Where each command stands, and the extra that it needs besides the command line's own.
COMMANDS = {
    "check": ("elmglade.cli.basic", ""),
    "control": ("elmglade.cli.control", "fleet"),
    "demo": ("elmglade.cli.basic", "demo"),
    "destinations": ("elmglade.cli.basic", ""),
    "emulate": ("elmglade.cli.emulate", "emulator"),
    "endpoints": ("elmglade.cli.override", ""),
    "explain": ("elmglade.cli.override", ""),
    "fleet": ("elmglade.cli.fleet", ""),
    "journal": ("elmglade.cli.journal", "fleet"),
    "override": ("elmglade.cli.override", ""),
    "pcap": ("elmglade.cli.pcap", "pcap"),
    "serve": ("elmglade.cli.basic", ""),
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
                wanted = f"elmglade[cli,{extra}]" if extra else "elmglade[cli]"
                raise click.ClickException(f"{error}; pip install '{wanted}'") from None
            assert isinstance(found, click.Command)
            return found

    @click.group(cls=Commands, context_settings={"help_option_names": ["-h", "--help"]})
    @click.version_option(package_name="elmglade", prog_name="elmglade")
    def elmglade() -> None:
        """A sender that loses nothing and repeats nothing.

        Completion: eval "$(_ELMGLADE_COMPLETE=bash_source elmglade)"
        """


def main(words: Sequence[str] | None = None) -> int:
    """Runs a command; the answer is the exit code."""
    if click is None:
        print("elmglade: the command line needs click; pip install 'elmglade[cli]'", file=sys.stderr)
        return 1
    try:
        elmglade(list(sys.argv[1:] if words is None else words), prog_name="elmglade")
    except SystemExit as ended:
        return int(ended.code or 0)
    return 0


if __name__ == "__main__":
    sys.exit(main())
