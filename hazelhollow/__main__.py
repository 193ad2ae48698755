"""Entry point of `python -m hazelhollow`."""

import sys


def run() -> None:
    """Runs the command line; for `serve` it holds the signals first, since imports take time."""
    if "serve" in sys.argv[1:2]:
        from hazelhollow import early_signals

        early_signals.hold()
    from hazelhollow.cli import main

    main(prog_name="hazelhollow")


run()
