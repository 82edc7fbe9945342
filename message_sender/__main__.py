"""Entry point of `python -m message_sender`.

Without arguments it runs the platform's sender, with arguments the command line.
"""

import signal
import sys


def main() -> int:
    """Runs the platform's sender or the command line; returns the exit code."""
    if len(sys.argv) > 1:
        from message_sender.cli import main as run_command

        return run_command()
    # SIGHUP would end a process that has no handler for it yet. The configuration is read after this, so that
    # no change of it is missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from message_sender.start import main as run_sender

    return run_sender()


if __name__ == "__main__":
    sys.exit(main())
