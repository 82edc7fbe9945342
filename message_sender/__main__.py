"""What `python -m message_sender` starts: without arguments the platform's sender; with them the command
line."""

import signal
import sys


def main() -> int:
    if len(sys.argv) > 1:
        from message_sender.cli import main as command

        return command()
    # Guards a start from SIGHUP, which would end a process that cannot hear it yet. The configuration is read
    # after this, so that nothing is missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from message_sender.start import main as run

    return run()


if __name__ == "__main__":
    sys.exit(main())
