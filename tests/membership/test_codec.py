"""The codec of datagrams: messages survive a round trip, and malformed texts are rejected."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.membership import codec
from hazelhollow.membership.codec import Message, MessageKind
from hazelhollow.membership.records import (
    MemberState,
    Record,
)
from tests.membership.helpers import MEMBERS, records

kinds = st.sampled_from(sorted(codec.ARGUMENT_COUNTS)).flatmap(
    lambda kind: st.tuples(
        st.just(kind),
        st.lists(
            st.integers(0, MEMBERS - 1),
            min_size=codec.ARGUMENT_COUNTS[kind],
            max_size=codec.ARGUMENT_COUNTS[kind],
        ),
    )
)


heads = st.builds(
    lambda kind, sender, serial, digest: Message(kind[0], sender, serial, digest, tuple(kind[1])),
    kinds,
    records,
    st.integers(0, 36**5 - 1),
    st.integers(0, 36**5 - 1),
)


@given(heads, st.lists(records, max_size=20), st.sets(st.integers(0, 19)), st.booleans())
def test_encoded_message_decodes_to_itself_within_the_size_limit(
    message: Message, reported: list[Record], same_versions: set[int], relative: bool
) -> None:
    sender = message.sender
    if (
        message.kind == MessageKind.BUCKET_DIGESTS
    ):  # its digests leave no room for the sender's optional fields
        sender = sender._replace(unreachable=(), versions="")
        message = message._replace(sender=sender)
    reported = [
        r._replace(versions=sender.versions) if n in same_versions else r
        for n, r in enumerate(reported)
    ]
    text, encoded_count = codec.encode(message, reported, relative=relative)
    assert len(text) <= codec.MAX_TEXT_BYTES
    assert codec.decode(text, MEMBERS) == message._replace(records=tuple(reported[:encoded_count]))


def test_relative_records_are_a_third_as_long_and_never_longer() -> None:
    versions = "i4pz002k3f9005wa1cz0q1"
    sender = Record(3, 9**15, 2, MemberState.ALIVE, (), versions)
    reported = [
        Record(n, 9**15 + 20_000 * n, 1, MemberState.ALIVE, (), versions) for n in range(4, 34)
    ]
    message = Message(MessageKind.RECORDS, sender, 7, 99)
    assert (
        codec.encode(message, reported, relative=True)[1] >= 3 * codec.encode(message, reported)[1]
    )
    dissimilar = [Record(n, 1, 0, MemberState.DEAD, (1, 2), "other") for n in range(4, 34)]
    assert codec.encode(message, dissimilar, relative=True) == codec.encode(message, dissimilar)


@pytest.mark.parametrize(
    "word",
    [
        "4.+1.0.1=",
        "4.-zzzzzzzz.0.1",
        "4.+.0.1",
        "4.+1.0.9=",
        "4.+1.0.=",
        "4.+1.0.1==",
        "zz.+1.0.1",
        "4.+1.0.1=..abc",
        "4.+1",
        "4.+-1.0.1",
        "4.+1.0.1=.1.i4",
    ],
)
def test_malformed_relative_record_is_rejected(word: str) -> None:
    """A relative record that the sender's record cannot complete invalidates the datagram."""
    # Without versions of the sender, `=` is invalid.
    versions = ".." + "i4" if word != "4.+1.0.1=" else ""
    head = f"v1p 3.1000.1.1{versions}/1/1 1"
    assert (
        codec.decode(head, MEMBERS) is not None and codec.decode(f"{head} {word}", MEMBERS) is None
    )


TOO_LONG = codec.encode(
    Message(MessageKind.PING, Record(3, 9**9, 2, MemberState.ALIVE), 7, 99, (5,)),
    [Record(4, 8**9, 1, MemberState.DEAD)] * 20,
    999,
)[0]


VALID = codec.encode(
    Message(MessageKind.PING_REQUEST, Record(3, 9**9, 2, MemberState.ALIVE), 7, 99, (5, 4)),
    [Record(4, 8**9, 1, MemberState.DEAD)],
)[0]


@pytest.mark.parametrize(
    "text",
    [
        "",
        "v",
        "h123",
        TOO_LONG,
        "v2" + VALID[2:],
        VALID + " ",
        VALID + "x" * 300,
        VALID.replace("/", " "),
        VALID.upper(),
        "v1x 3.1.1.1/1/1 ",
        "v1p 3.1.1.9/1/1 1",
        "v1p zz.1.1.1/1/1 1",
        "v1q 3.1.1.1/1/1 1",
        "v1q 3.1.1.1/1/1 1-zz",
        "v1p 3.1.1.1/1/1 -1",
        "v1p 3.1.1.1/1/1 1 4.1.1",
        "v1p 3.1.1.1/1/1 1 4.1.1.1.2.a.b",
        "v1p 3.1.1.1/1/1 1 4.1.1.1..\u0661",
    ],
)
def test_malformed_text_is_rejected(text: str) -> None:
    """A datagram that is too long, of another dialect, truncated or out of range is rejected."""
    assert codec.decode(VALID, MEMBERS) is not None and codec.decode(text, MEMBERS) is None


@given(st.text(max_size=80) | st.integers(0, len(VALID)).map(lambda n: VALID[:n]))
def test_decoding_arbitrary_text_never_raises(text: str) -> None:
    """Any text may arrive from the network; an exception would end the limiter's receive loop."""
    codec.decode(text, MEMBERS)


@given(st.integers(0, 40), st.sets(st.integers(0, codec.BITMAP_SPAN - 1)))
def test_encoded_bitmap_decodes_to_itself_within_the_size_limit(
    start: int, places: set[int]
) -> None:
    sender, bits = (
        Record(3, 36**8, 2, MemberState.ALIVE, (), "", "7f0000011f0a"),
        sum(1 << place for place in places),
    )
    message = Message(MessageKind.PRESENCE_BITMAP, sender, 36**4 - 1, 36**5 - 1, (start, bits))
    text, _ = codec.encode(message, [])
    assert len(text) <= codec.MAX_TEXT_BYTES - 18  # the length of a keyed hash
    assert codec.decode(text, 2000) == message


@pytest.mark.parametrize(
    "parts",
    ["0", "0:!", "0:A", "zz:AQ==", "0:////", "0:____", "-1:AQ==", "0:AQ==:", "9:Ag==", "0:A Q=="],
)
def test_malformed_bitmap_is_rejected(parts: str) -> None:
    """A bitmap that is malformed or exceeds the fleet makes the datagram invalid."""
    assert codec.decode("v1b 3.1.1.1/1/1 8:AQ==", 10) is not None
    assert codec.decode("v1b 3.1.1.1/1/1 " + parts, 10) is None
