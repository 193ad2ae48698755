"""The grammars of requests, endpoint lists, HTTP and datagrams: mutations of sound input."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

import orjson
import pytest

from hazelhollow.decisions.gossip import codec
from hazelhollow.net import http1, resp
from hazelhollow.net.command_parser import CommandParser
from hazelhollow.net.endpoint_list import EndpointList
from hazelhollow.net.errors import BadCommandError, EndpointListError, ProtocolError
from hazelhollow.net.requests import RequestLimits
from tests.net.scenario import SETTINGS


def mutations(data: bytes, alphabet: bytes = bytes(range(256))) -> Iterator[bytes]:
    """Yields every input that differs in one byte: changed, removed, added, or two swapped."""
    for at in range(len(data) + 1):
        for byte in alphabet:
            new = bytes([byte])
            yield data[:at] + new + data[at:]
            if at < len(data):
                yield data[:at] + new + data[at + 1 :]
        if at < len(data):
            yield data[:at] + data[at + 1 :]
            yield data[:at] + data[at + 1 : at + 2] + data[at : at + 1] + data[at + 2 :]


# Requests. The judge is written from the protocol page alone.

SOUND_REQUESTS = [
    [b"Q.ASK", b"00000000b4d65521", b"9b1f03aa", b"c=look,t=basic,d=480,units=2,spread=2,first=1"],
    [b"Q.ASK", b"00000001ffffffff", b"x", b"r=1,first=0,spread=1,units=1.5,d=0,t=basic,c=look"],
    [b"Q.DO", b"0000000000000000", b"7", b"c=buy,t=basic,d=9,k=5c0f,units=1,spread=1,first=0", b""],
    [
        b"Q.DO",
        b"00000000b4d65521",
        b"7",
        b"c=buy,t=basic,d=9,k=~,units=1,spread=2,first=0",
        b"\r\n",
    ],
]
NUMBER = r"(?:0|[1-9][0-9]*)"


def judged_fields(text: str, is_keyed: bool) -> bool:
    items = [item.partition("=") for item in text.split(",")]
    fields = {name: value for name, _, value in items}
    wanted = {"c", "t", "d", "units", "spread", "first"} | ({"k"} if is_keyed else set())
    if len(fields) != len(items) or not wanted <= fields.keys() <= wanted | {"r"}:
        return False
    numbers = [fields[name] for name in ("d", "spread", "first")]
    return (
        all(re.fullmatch(NUMBER, number) for number in numbers)
        and re.fullmatch(NUMBER + r"(\.[0-9]{1,9})?", fields["units"]) is not None
        and fields["c"] == ("buy" if is_keyed else "look")
        and fields["t"] == "basic"
        and int(fields["d"]) <= 3000
        and 0 < float(fields["units"]) <= SETTINGS.max_units
        and 1 <= int(fields["spread"]) <= 2
        and int(fields["first"]) <= 1
        and fields.get("r", "1") == "1"
        and (not is_keyed or re.fullmatch(r"[!-+\--~]{1,64}", fields["k"]) is not None)
    )


def is_sound_request(data: bytes) -> bool:
    """Whether the bytes begin with a request that the pages allow."""
    head = re.match(rb"\*([45])\r\n", data)
    if not head:
        return False
    words, rest = [], data[head.end() :]
    for _ in range(int(head[1])):
        length = re.match(rb"\$(0|[1-9][0-9]*)\r\n", rest)
        if not length:
            return False
        size, rest = int(length[1]), rest[length.end() :]
        if rest[size : size + 2] != b"\r\n":
            return False
        words.append(rest[:size])
        rest = rest[size + 2 :]
    is_keyed = words[0] == b"Q.DO"
    return (
        (words[0], len(words)) in ((b"Q.ASK", 4), (b"Q.DO", 5))
        and re.fullmatch(b"0{7}[01][0-9a-f]{8}", words[1]) is not None
        and re.fullmatch(b"[!-~]{1,64}", words[2]) is not None
        and re.fullmatch(b"[ -~]+", words[3]) is not None
        and judged_fields(words[3].decode(), is_keyed)
    )


def is_accepted_request(limits: RequestLimits, data: bytes) -> bool:
    parser = CommandParser()
    try:
        parser.feed(data)
        arguments = parser.next()
        if arguments is None or arguments[0] not in (b"Q.ASK", b"Q.DO"):
            return False
        limits.read(arguments, 0.0)
    except (ProtocolError, BadCommandError):
        return False
    return True


@pytest.mark.parametrize("words", SOUND_REQUESTS, ids=lambda words: words[3].decode()[:8])
def test_no_mutation_of_one_byte_passes_as_another_request(words: list[bytes]) -> None:
    limits, sound = RequestLimits(SETTINGS), resp.encode_command(words)
    assert is_accepted_request(limits, sound) and is_sound_request(sound)
    wrong = [
        (mutated, is_sound_request(mutated))
        for mutated in mutations(sound)
        if is_accepted_request(limits, mutated) != is_sound_request(mutated)
    ]
    assert wrong == []


# Lists

ENTRY = {
    "name": "s-1", "address": "10.1.0.18:6379", "zone": "a", "type": "m2", "group": 3,
    "status": "in_service", "weight": 1.0, "since_ms": 0,
}  # fmt: skip


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("name", 7), ("name", ""), ("name", None), ("name", "a b"), ("name", ["s-1"]),
        ("address", "10.1.0.18"), ("address", "10.1.0.18:0"), ("address", "host:6379"),
        ("address", "10.1.0.300:6379"), ("address", "10.1.0.18:+6379"), ("address", 6379),
        ("zone", None), ("zone", 1), ("group", "3"), ("group", -1), ("group", 3.0),
        ("group", True), ("status", "IN_SERVICE"), ("status", None), ("weight", "1.0"),
        ("weight", -1), ("weight", True), ("weight", None), ("since_ms", -1), ("since_ms", "0"),
    ],
)  # fmt: skip
def test_entry_with_a_value_of_another_form_is_not_taken(key: str, value: Any) -> None:
    """In a whole list it is left out; a change that contains it is not applied at all."""
    listed, good = EndpointList(), {**ENTRY, "name": "s-2"}
    document = {"index": 1, "snapshot": True, "endpoints": [{**ENTRY, key: value}, good]}
    listed.apply(document)
    assert set(listed.entries) == {"s-2"}
    with pytest.raises(EndpointListError):
        listed.apply({**document, "index": 2, "snapshot": False}, min_version=1)
    assert set(listed.entries) == {"s-2"} and listed.version == 1


@pytest.mark.parametrize(
    "document",
    [
        [], None, {"index": 1, "snapshot": True}, {"index": "1", "snapshot": True, "endpoints": []},
        {"index": 1.0, "snapshot": True, "endpoints": []},
        {"index": True, "snapshot": True, "endpoints": []},
        {"index": -1, "snapshot": True, "endpoints": []},
        {"index": 1, "snapshot": "false", "endpoints": []},
        {"index": 1, "snapshot": 0, "endpoints": []},
        {"index": 1, "snapshot": True, "endpoints": {"s-1": ENTRY}},
        {"index": 1, "snapshot": True, "endpoints": "s-1"},
    ],
)  # fmt: skip
def test_document_of_another_form_is_no_list(document: Any) -> None:
    """Guards against a string that passes as a flag: `"false"` made a change a whole list."""
    with pytest.raises(EndpointListError):
        EndpointList().apply(document)


def test_mutated_list_never_gives_an_entry_that_it_does_not_name() -> None:
    sound = orjson.dumps({"index": 1, "snapshot": True, "endpoints": [ENTRY]})
    for mutated in mutations(sound, b'0a"-:,.{}[]_ \\'):
        try:
            document = orjson.loads(mutated)
            event = EndpointList().apply(document)
        except (orjson.JSONDecodeError, EndpointListError):
            continue
        for entry in event.entries:
            raw = document["endpoints"][0]
            assert entry.name == raw["name"] and entry.zone == raw.get("zone", "")
            assert raw["status"] == "in_service" and type(raw["address"]) is str


# HTTP

BODY = b'{"index":1}'


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: +11\r\n\r\n" + BODY,
        b"HTTP/1.1 200 OK\r\nContent-Length: 11\r\nContent-Length: 12\r\n\r\n" + BODY,
        b"HTTP/1.1 200 OK\r\nContent-Length: 11\r\nTransfer-Encoding: chunked\r\n\r\n" + BODY,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n" + BODY,
        b"HTTP/1.1 200 OK\r\nContent-Length : 11\r\n\r\n" + BODY,
        b"HTTP/1.1 200 OK\r\nA\r\nContent-Length: 11\r\n\r\n" + BODY,
        b"HTTP/1.1 200 OK\r\n Content-Length: 11\r\n\r\n" + BODY,
        b"HTTP/1.1 2000 OK\r\nContent-Length: 11\r\n\r\n" + BODY,
        b"HTTP/1.1  200 OK\r\nContent-Length: 11\r\n\r\n" + BODY,
        b"HTTP/1.x 200 OK\r\nContent-Length: 11\r\n\r\n" + BODY,
        b"HTTP/2.0 200 OK\r\nContent-Length: 11\r\n\r\n" + BODY,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0xb\r\n" + BODY + b"\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+b\r\n" + BODY + b"\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n" + BODY + b"xx0\r\n\r\n",
    ],
)
def test_response_that_rfc_9112_does_not_allow_is_malformed(data: bytes) -> None:
    parser = http1.Parser()
    parser.feed(data)
    with pytest.raises(ProtocolError):
        parser.next()


# Datagrams

PLAN = codec.name_tag("basic")
DATAGRAM = f"i5a3k7 1c:{PLAN}:0:2:1:1e:2 1c/{PLAN}/a 4f=2s 4f!0"
JUDGED_ITEM = re.compile(
    rf"[0-9a-z]+:{PLAN}:[01]:[12]:[0-9a-z]+:[0-9a-z]+(:[0-9a-z]+)?|[0-9a-z]+/{PLAN}/[0-9a-z]+"
    "|[0-9a-z]+=[0-9a-z]+|[0-9a-z]+!0"
)


def judged_reports(text: str) -> int:
    """Returns how many reports a datagram of the current dialect holds; -1 if it is malformed."""
    header, *items = text.split(" ")
    if not re.fullmatch("i[0-9a-z]{2,}", header):
        return -1
    return sum(JUDGED_ITEM.fullmatch(item) is not None for item in items)


def test_no_mutation_of_a_datagram_passes_as_another() -> None:
    decoder = codec.GossipDecoder((PLAN,), 2, ())
    assert judged_reports(DATAGRAM) == 4
    for mutated in mutations(DATAGRAM.encode(), bytes(range(128))):
        text = mutated.decode()
        message = decoder.decode(text)
        if message is not None and text[0] != codec.PREVIOUS_DIALECT:
            assert len(message.reports) == judged_reports(text), text


@pytest.mark.parametrize("digit", ["\u0663", "\uff15", "A", "_", "+", "\u00b2"])
def test_digits_that_are_not_of_the_alphabet_are_malformed(digit: str) -> None:
    """Guards against int(), which reads digits of every alphabet, signs and underscores."""
    decoder = codec.GossipDecoder((PLAN,), 2, ())
    for at, character in enumerate(DATAGRAM):
        if character.isalnum():
            assert decoder.decode(DATAGRAM[:at] + digit + DATAGRAM[at + 1 :]) is None
