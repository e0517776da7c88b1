"""The program's entry point."""

import os
import sys


def main() -> None:
    """Runs the process's command line and exits with its status."""
    from pollenfork import context
    from pollenfork import core

    try:
        ended = int(core.main(sys.argv[1:], context.Environment()))
        sys.stdout.flush()
    except BrokenPipeError:
        # Whoever reads has enough, as `head` does. The interpreter flushes
        # once more as it ends, and must not meet the closed pipe again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        ended = 1
    sys.exit(ended)


if __name__ == "__main__":
    main()
