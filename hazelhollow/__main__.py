"""`python -m hazelhollow`."""

import sys

if "serve" in sys.argv[1:2]:  # before all that takes time to import
    from hazelhollow import early_signals

    early_signals.hold()

from hazelhollow.cli import main  # noqa: E402

main(prog_name="hazelhollow")
