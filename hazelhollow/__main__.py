"""`python -m hazelhollow`."""

from hazelhollow.cli import main

main(prog_name="hazelhollow")
