"""The program's entry point."""

import sys


def main() -> None:
    """Runs the process's command line and exits with its status."""
    from pollenfork import context
    from pollenfork import core

    sys.exit(core.main(sys.argv[1:], context.Environment()))


if __name__ == "__main__":
    main()
