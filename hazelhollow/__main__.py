"""`python -m hazelhollow`."""

import sys


def run() -> None:
    """Runs the command line; for `serve` it first holds the signals, as imports take time."""
    if "serve" in sys.argv[1:2]:
        from hazelhollow import early_signals

        early_signals.hold()
    from hazelhollow.cli import main

    main(prog_name="hazelhollow")


run()
