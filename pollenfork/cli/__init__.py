"""The command line: declaration in `definition`, behaviour beside."""
