"""`hazelhollow ask`: requests by hand to a limiter, and what came of them."""

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
@click.option("--plan", default="gold", show_default=True, help="The customer's plan, likewise.")
@click.option(
    "--customer",
    default="00000000b4d65521",
    show_default=True,
    help="16 hex digits, a number below 2^33.",
)
@click.option(
    "--units",
    default=1,
    show_default=True,
    type=click.IntRange(1, 1_000_000),
    help="What each draws from the quota.",
)
@click.option(
    "--count",
    default=1,
    show_default=True,
    type=click.IntRange(1, 1_000_000),
    help="So many, one after another.",
)
@click.option(
    "--spread",
    default=1,
    show_default=True,
    help="Limiters that the customer's requests come through.",
)
@click.option(
    "--wait",
    default=2.0,
    show_default=True,
    type=click.FloatRange(0.01, 60.0),
    help="Seconds to wait for each answer.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the figures as JSON.")
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

    Exit status 0: all were served. 1: some were refused or failed. 2: the limiter could not be
    reached.
    """
    outcomes, shown = Counter[str](), ""
    began = time.monotonic()
    try:
        with socket.create_connection(platform_config.address(to), timeout=wait + 1) as sock:
            parser = resp.Parser()
            for _ in range(count):
                fields = (
                    f"c={kind},t={plan},d={int(wait * 1000)},units={units},spread={spread},first=0"
                )
                sock.sendall(
                    resp.encode_command(
                        [
                            b"Q.ASK",
                            customer.encode(),
                            secrets.token_hex(8).encode(),
                            fields.encode(),
                        ]
                    )
                )
                answer = _answer(sock, parser)
                word = (
                    "served"
                    if isinstance(answer, bytes) and not isinstance(answer, resp.ErrorReply)
                    else "failed"
                )
                if isinstance(answer, resp.ErrorReply) and answer.startswith(b"BUSY"):
                    word = "refused"
                outcomes[word] += 1
                shown = (
                    bytes(answer).decode("utf-8", "replace")
                    if isinstance(answer, bytes)
                    else str(answer)
                )
    except (OSError, ValueError, resp.ProtocolError) as error:
        click.echo(f"hazelhollow: {to}: {error}", err=True)
        sys.exit(2)
    took = time.monotonic() - began
    if as_json:
        click.echo(orjson.dumps({**outcomes, "seconds": round(took, 3), "last": shown}).decode())
    else:
        click.echo(
            ", ".join(f"{n} {word}" for word, n in sorted(outcomes.items()))
            + f" in {took:.2f} s; the last answer: {shown}"
        )
    sys.exit(0 if outcomes["served"] == count else 1)


def _answer(sock: socket.socket, parser: resp.Parser) -> resp.Value:
    while isinstance(answer := parser.next(), resp.NeedMoreData):
        data = sock.recv(64 * 1024)
        if not data:
            raise OSError("the limiter closed the connection")
        parser.feed(data)
    return answer
