"""Clients' commands: any split gives the same ones, and unreadable bytes are refused at once."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.net import resp
from hazelhollow.net.command_parser import (
    MAX_ARGUMENT_BYTES,
    MAX_ARGUMENTS,
    MAX_COMMAND_BYTES,
    CommandParser,
)
from hazelhollow.net.errors import ProtocolError

COMMANDS = [[b"PING"], [b"Q.DO", b"", b"a\r\nb", b"$1\r\n"], [b"x" * 3000, b"y" * 3000]]
STREAM = b"".join(map(resp.encode_command, COMMANDS))


def parse(parts: list[bytes]) -> list[list[bytes]]:
    parser, found = CommandParser(), list[list[bytes]]()
    for part in parts:
        parser.feed(part)
        while (arguments := parser.next()) is not None:
            found.append(arguments)
    assert parser.is_between_commands() and not parser.pending_bytes()
    return found


@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_commands_split_at_any_byte_are_the_same(cuts: list[int]) -> None:
    edges = [0, *sorted(cuts), len(STREAM)]
    assert parse([STREAM[a:b] for a, b in zip(edges, edges[1:], strict=False)]) == COMMANDS


def test_largest_command_is_parsed_in_single_bytes() -> None:
    command = [b"Q.DO", b"B" * MAX_ARGUMENT_BYTES]
    data = resp.encode_command(command)
    assert parse([data[at : at + 1] for at in range(len(data))]) == [command]


UNREADABLE = [
    b"x", b"\r", b"*x", b"*-", b"*0\r\n", b"*01", b"*+1", b"*999999", b"*4\n", b"*4\rx",
    b"*%d\r\n" % (MAX_ARGUMENTS + 1), b"*1\r\n:", b"*1\r\n*", b"*1\r\n+", b"*1\r\n$-",
    b"*1\r\n$x", b"*1\r\n$00", b"*1\r\n$%d\r\n" % (MAX_ARGUMENT_BYTES + 1), b"*1\r\n$2\r\nabc",
    b"*1\r\n$2\r\nab\rx", b"*1\r\n$0\r\n\n", b"*1\r\n$123456",
]  # fmt: skip


@pytest.mark.parametrize("data", UNREADABLE)
def test_unreadable_bytes_are_refused_without_waiting_for_more(data: bytes) -> None:
    """Guards against a request that is forwarded since the noise behind it has no end yet."""
    parser = CommandParser()
    parser.feed(resp.encode_command([b"PING"]) + data)
    assert parser.next() == [b"PING"]
    with pytest.raises(ProtocolError):
        parser.next()


@pytest.mark.parametrize("cut", range(1, len(resp.encode_command([b"Q.DO", b"ab"]))))
def test_part_of_a_command_waits_for_more(cut: int) -> None:
    data, parser = resp.encode_command([b"Q.DO", b"ab"]), CommandParser()
    parser.feed(data[:cut])
    assert parser.next() is None and not parser.is_between_commands()
    copied = parser.copy()
    copied.feed(data[cut:])
    assert copied.next() == [b"Q.DO", b"ab"]
    assert parser.next() is None  # the copy has buffers of its own


def test_arguments_too_large_in_total_are_refused() -> None:
    parser = CommandParser()
    parser.feed(b"*2\r\n" + resp.encode_bulk_string(b"a" * MAX_ARGUMENT_BYTES))
    assert parser.next() is None
    parser.feed(b"$%d\r\n" % (MAX_COMMAND_BYTES - MAX_ARGUMENT_BYTES + 1))
    with pytest.raises(ProtocolError):
        parser.next()


def test_cleared_parser_holds_nothing() -> None:
    held = list[int]()
    parser = CommandParser(held.append)
    parser.feed(b"*2\r\n$60000\r\n" + b"a" * 50_000)
    assert parser.next() is None and sum(held) >= 48_000
    parser.clear()
    assert sum(held) == 0 and parser.is_between_commands()
