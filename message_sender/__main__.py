"""Entry point of `python -m message_sender`.

Without arguments the module runs the platform's sender; with arguments it runs the command line.
"""

import signal
import sys


def main() -> int:
    """Runs the platform's sender or the command line; returns the exit code."""
    if len(sys.argv) > 1:
        from message_sender.cli import main as run_command

        return run_command()
    # Without this, SIGHUP would end the process until the sender installs its handler. Ignoring the signal is
    # safe: the configuration is read after that handler is installed, so that no change is missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from message_sender.start import main as run_sender

    return run_sender()


if __name__ == "__main__":
    sys.exit(main())
