"""Entry point of the program."""

import os
import sys


def main() -> None:
    """Runs the command line of the process and exits with its status."""
    from pollenfork import context
    from pollenfork import core

    try:
        status = int(core.main(sys.argv[1:], context.Environment()))
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader closed the pipe early, as `head` does. The interpreter
        # flushes stdout again at exit, so point it at a valid descriptor.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        status = 1
    sys.exit(status)


if __name__ == "__main__":
    main()
