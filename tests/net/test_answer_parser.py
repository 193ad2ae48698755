"""The grammar of endpoints' answers: every sound form, every cut, every mutation of one byte."""

from __future__ import annotations

import re

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.net.answer_parser import (
    AnswerCompleted,
    AnswerEvent,
    AnswerParser,
    ErrorReceived,
    ValueData,
    ValueStarted,
)
from hazelhollow.net.errors import ProtocolError

SOUND = {
    b"*3\r\n$2\r\nhi\r\n$-1\r\n$-1\r\n": (b"hi", b"", b""),
    b"*3\r\n$0\r\n\r\n$4\r\na\r\nb\r\n$10\r\ninflight=7\r\n": (b"", b"a\r\nb", b"inflight=7"),
    b"*3\r\n$12\r\n0123456789\r\n\r\n$0\r\n\r\n:many\r\n": (b"0123456789\r\n", b"", b""),
    b"-ERR failed used=3 queue=2\r\n": b"ERR failed used=3 queue=2",
    b"-BUSY\r\n": b"BUSY",
}
# Written from the protocol page, without a look at the parser.
_LENGTH = rb"(?:0|[1-9][0-9]*)"
_ERROR = re.compile(rb"-[A-Z][A-Z0-9_]*(?: [ -~]*)?\r\n")


def is_sound(data: bytes) -> bool:
    """Tries every way of splitting the bytes into the parts of an answer."""
    if _ERROR.fullmatch(data):
        return True
    head = re.match(rb"\*3\r\n\$(" + _LENGTH + rb")\r\n", data)
    if not head:
        return False
    rest = data[head.end() :]
    size = int(head[1])
    if rest[size : size + 2] != b"\r\n" or len(rest) < size + 2:
        return False
    rest = rest[size + 2 :]
    for _ in range(2):
        unreadable = re.match(rb"\$-1\r\n|:[ -~]*\r\n", rest)
        if unreadable:
            rest = rest[unreadable.end() :]
            continue
        string = re.match(rb"\$(" + _LENGTH + rb")\r\n", rest)
        if not string:
            return False
        size = int(string[1])
        rest = rest[string.end() :]
        if len(rest) < size + 2 or rest[size : size + 2] != b"\r\n":
            return False
        rest = rest[size + 2 :]
    return not rest


def events(parts: list[bytes], max_data: int = 1 << 20) -> tuple[list[AnswerEvent], AnswerParser]:
    parser, found = AnswerParser(), list[AnswerEvent]()
    for part in parts:
        parser.feed(part)
        while event := parser.next_event(max_data):
            found.append(event)
    return found, parser


def result(found: list[AnswerEvent]) -> object:
    """Returns what the events tell: the three parts, an error line, or None if not complete."""
    last = found[-1] if found else None
    if isinstance(last, ErrorReceived):
        return last.line
    if not isinstance(last, AnswerCompleted):
        return None
    value = b"".join(event.data for event in found if isinstance(event, ValueData))
    assert isinstance(found[0], ValueStarted) and found[0].length == len(value)
    return value, last.figures, last.report


@pytest.mark.parametrize("answer", SOUND)
def test_sound_answer_is_parsed_however_it_is_cut(answer: bytes) -> None:
    for size in range(1, len(answer) + 1):
        pieces = [answer[start : start + size] for start in range(0, len(answer), size)]
        found, parser = events(pieces, max_data=size)
        assert result(found) == SOUND[answer] and parser.is_idle()


@given(st.sampled_from(sorted(SOUND)), st.lists(st.integers(0, 60), max_size=8))
def test_incomplete_answer_is_never_complete(answer: bytes, cuts: list[int]) -> None:
    edges = sorted({0, *[min(cut, len(answer) - 1) for cut in cuts]})
    found, parser = events([answer[a:b] for a, b in zip(edges, edges[1:], strict=False)])
    assert result(found) is None and (not edges[-1] or not parser.is_idle())


def mutations(answer: bytes) -> set[bytes]:
    """Returns every answer that differs in one byte: changed, removed, added, or two swapped."""
    mutated = set()
    for at in range(len(answer) + 1):
        for byte in range(256):
            new = bytes([byte])
            mutated.add(answer[:at] + new + answer[at:])
            mutated.add(answer[:at] + new + answer[at + 1 :])
        mutated.add(answer[:at] + answer[at + 1 :])
        mutated.add(answer[:at] + answer[at + 1 : at + 2] + answer[at : at + 1] + answer[at + 2 :])
    return mutated


@pytest.mark.parametrize("answer", SOUND)
def test_no_mutation_of_one_byte_passes_as_an_answer(answer: bytes) -> None:
    accepted = set()
    for mutated in mutations(answer):
        try:
            found, parser = events([mutated])
        except ProtocolError:
            continue
        if result(found) is not None and parser.is_idle():
            accepted.add(mutated)
    assert accepted and accepted == {mutated for mutated in mutations(answer) if is_sound(mutated)}


def test_value_data_waits_for_room() -> None:
    """Guards against bytes that are returned although the client takes none."""
    parser = AnswerParser()
    parser.feed(b"*3\r\n$9\r\n012345")
    assert parser.next_event(4) == ValueStarted(9)
    assert parser.next_event(0) is None and parser.has_value_data()
    assert parser.next_event(4) == ValueData(b"0123")
    assert parser.next_event(4) == ValueData(b"45")
    assert parser.next_event(4) is None and not parser.has_value_data()


@pytest.mark.parametrize(
    "junk",
    [b"x" * 5000, b"*3\r\n$3000000000\r\n", b"*3\r\n$1\r\nx\r\n$70000\r\n", b"-" + b"A" * 5000],
)
def test_answer_beyond_the_limits_is_malformed(junk: bytes) -> None:
    with pytest.raises(ProtocolError):
        events([junk])
