"""The command `hazelhollow ask`: sends requests to a limiter and shows their outcomes."""

from __future__ import annotations

import secrets
import socket
import sys
import time
from collections import Counter

import click
import orjson

from hazelhollow import platform_config
from hazelhollow.net import resp
from hazelhollow.net.errors import ProtocolError

READ_CHUNK_BYTES = 64 * 1024


@click.command("ask")
@click.option(
    "--to", default="127.0.0.1:6379", show_default=True, metavar="HOST:PORT", help="The limiter."
)
@click.option(
    "--class",
    "kind",
    default="look",
    show_default=True,
    help="The request's class, as in the limiter's settings.",
)
@click.option(
    "--plan",
    default="gold",
    show_default=True,
    help="The customer's plan, as in the limiter's settings.",
)
@click.option(
    "--customer",
    default="00000000b4d65521",
    show_default=True,
    help="16 hex digits; their value must be below 2^33.",
)
@click.option(
    "--units",
    default=1,
    show_default=True,
    type=click.IntRange(1, 1_000_000),
    help="Units that each request draws from the quota.",
)
@click.option(
    "--count",
    default=1,
    show_default=True,
    type=click.IntRange(1, 1_000_000),
    help="Number of requests, sent one after another.",
)
@click.option(
    "--spread",
    default=1,
    show_default=True,
    help="Number of limiters that receive the customer's requests.",
)
@click.option(
    "--wait",
    default=2.0,
    show_default=True,
    type=click.FloatRange(0.01, 60.0),
    help="Seconds to wait for each answer.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the results as JSON.")
def ask(
    to: str,
    kind: str,
    plan: str,
    customer: str,
    units: int,
    count: int,
    spread: int,
    wait: float,
    as_json: bool,
) -> None:
    """Send requests to a limiter and show the answers.

    Exit status 0: all requests were served. 1: some were refused or failed. 2: the limiter could
    not be reached.
    """
    fields = f"c={kind},t={plan},d={int(wait * 1000)},units={units},spread={spread},first=0"
    outcomes, last_answer = Counter[str](), ""
    started_at = time.monotonic()
    try:
        address = platform_config.parse_address(to)
        with socket.create_connection(address, timeout=wait + 1) as sock:
            parser = resp.Parser()
            for _ in range(count):
                words = [b"Q.ASK", customer.encode(), _new_id(), fields.encode()]
                sock.sendall(resp.encode_command(words))
                answer = _receive(sock, parser)
                outcomes[_outcome(answer)] += 1
                last_answer = _text(answer)
    except (OSError, ValueError, ProtocolError) as error:
        click.echo(f"hazelhollow: {to}: {error}", err=True)
        sys.exit(2)
    elapsed = time.monotonic() - started_at
    if as_json:
        click.echo(
            orjson.dumps({**outcomes, "seconds": round(elapsed, 3), "last": last_answer}).decode()
        )
    else:
        counts = ", ".join(f"{n} {outcome}" for outcome, n in sorted(outcomes.items()))
        click.echo(f"{counts} in {elapsed:.2f} s; last answer: {last_answer}")
    sys.exit(0 if outcomes["served"] == count else 1)


def _new_id() -> bytes:
    return secrets.token_hex(8).encode()


def _outcome(answer: resp.Value) -> str:
    """Returns the name of the outcome in this command's output."""
    if isinstance(answer, resp.ErrorReply):
        return "refused" if answer.startswith(b"BUSY") else "failed"
    return "served" if isinstance(answer, bytes) else "failed"


def _text(answer: resp.Value) -> str:
    return bytes(answer).decode("utf-8", "replace") if isinstance(answer, bytes) else str(answer)


def _receive(sock: socket.socket, parser: resp.Parser) -> resp.Value:
    """Returns the next answer.

    Raises:
        OSError: The limiter closed the connection or did not answer in time.
    """
    while isinstance(answer := parser.next(), resp.NeedMoreData):
        data = sock.recv(READ_CHUNK_BYTES)
        if not data:
            raise OSError("the limiter closed the connection")
        parser.feed(data)
    return answer
