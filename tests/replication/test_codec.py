"""The text of datagrams, and the rejection of invalid texts."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.replication import codec
from hazelhollow.replication.count_table import CountRow, CountValue
from hazelhollow.replication.messages import (
    AccountCopy,
    Body,
    Counts,
    Digests,
    Kind,
    Message,
    NotComplete,
    Overrides,
    RecentCount,
    TransferPiece,
    TransferRequest,
)
from hazelhollow.replication.overrides import Override
from tests.replication.network import NOW, FakeAccounts, Network, overrides, rows, values

accounts = st.builds(
    AccountCopy,
    st.sampled_from(["a1", "zz9"]),
    st.just("pl"),
    st.integers(0, 4),
    st.integers(1, 5),
    st.integers(0, 9999),
    st.lists(
        st.builds(
            RecentCount,
            st.integers(0, 4),
            st.just("l1"),
            values.map(lambda value: value._replace(first_hand=1)),
            st.integers(0, 99),
            st.integers(0, 99),
        ),
        max_size=3,
    ).map(tuple),
)


@given(accounts, st.lists(rows, min_size=1, max_size=3), overrides)
def test_messages_are_decoded_as_they_were_encoded(
    account: AccountCopy, count_rows: list[CountRow], one_override: Override
) -> None:
    encoded = (
        codec.encode_header(Kind.TRANSFER_PIECE, "l1", NOW, (1, 2, 3))
        + codec.encode_account(account, NOW, 200)
        + codec.encode_forgotten()
    )
    message = codec.decode(encoded, 5)
    assert message is not None and message.body == TransferPiece(1, 2, 3, (account, None))
    same_customer_rows = [row._replace(customer="a") for row in count_rows]
    message = codec.decode(
        codec.encode_header(Kind.COUNTS, "l1", NOW) + codec.encode_counts(same_customer_rows, NOW),
        5,
    )
    assert message is not None and message.body == Counts(tuple(same_customer_rows))
    message = codec.decode(
        codec.encode_header(Kind.OVERRIDES, "l1", NOW) + codec.encode_override(one_override), 5
    )
    assert message is not None and message.body == Overrides((one_override,))


ROWS = (
    CountRow("8tl2m", "7kq", 1, 5, 3, "9k2", CountValue(NOW - 4, NOW - 2, 48)),
    CountRow("8tl2m", "7kq", 1, 5, 1, "8aa", CountValue(NOW - 9, NOW - 2, 7, 0)),
)
ACCOUNT = AccountCopy(
    "8tl2m",
    "7kq",
    1,
    5,
    217,
    (
        RecentCount(3, "9k2", CountValue(NOW - 4, NOW - 2, 48), 20, 10),
        RecentCount(1, "8aa", CountValue(NOW - 50, NOW - 3, 1234)),
    ),
)
OVERRIDES = (
    Override("s-0001", 2, 0, 1_700_000_002_000, 4),
    Override("10.0.0.7", 9, 1, 1_700_000_004_500, 1),
)
TEXTS: list[tuple[Kind, tuple[int, ...], str, Body]] = [
    (
        Kind.COUNTS,
        (),
        "c1r l1/s44we8  8tl2m:7kq:1:5:3.9k2.4.2.1c-1.8aa.9.2.7.h",
        Counts(ROWS),
    ),
    (
        Kind.TRANSFER_PIECE,
        (7, 40, 300),
        "c1g l1/s44we8 7-14-8c 8tl2m:7kq:1:5:61:3.9k2.4.2.1c.k.a-1.8aa.1e.3.ya.0.0 -",
        TransferPiece(7, 40, 300, (ACCOUNT, None)),
    ),
    (Kind.TRANSFER_REQUEST, (7, 40, 40), "c1q l1/s44we8 7-14-14", TransferRequest(7, 40, 40)),
    (Kind.NOT_COMPLETE, (7,), "c1n l1/s44we8 7", NotComplete(7)),
    (
        Kind.OVERRIDES,
        (),
        "c1h l1/s44we8  s-0001:2:0:loyw3wls:4 10.0.0.7:9:1:loyw3yj8:1",
        Overrides(OVERRIDES),
    ),
    (
        Kind.DIGESTS,
        (*range(32), 577735, 1),
        "c1s l1/s44we8 0-1-2-3-4-5-6-7-8-9-a-b-c-d-e-f-g-h-i-j-k-l-m-n-o-p-q-r-s-t-u-v-cds7-1",
        Digests(tuple(range(32)), 577735, True),
    ),
]


def items_of(body: Body) -> list[str]:
    if isinstance(body, Counts):
        return [codec.encode_counts(body.rows, NOW)]
    if isinstance(body, TransferPiece):
        return [codec.encode_account(ACCOUNT, NOW, 200), codec.encode_forgotten()]
    if isinstance(body, Overrides):
        return [codec.encode_override(override) for override in body.overrides]
    return []


@pytest.mark.parametrize(("kind", "numbers", "text", "body"), TEXTS)
def test_encoded_texts_equal_those_of_earlier_versions(
    kind: Kind, numbers: tuple[int, ...], text: str, body: Body
) -> None:
    """Members of two versions exchange messages during a rollout. Commit c5118d0 encoded these."""
    assert {row[0] for row in TEXTS} == set(Kind)
    header = codec.encode_header(kind, "l1", NOW, numbers)
    assert codec.append_items(header, items_of(body), 256) == (text, len(items_of(body)))
    assert codec.decode(text, 5) == Message("l1", NOW, body)


@given(st.text(max_size=60))
def test_any_text_is_rejected_or_decoded_as_a_known_kind(text: str) -> None:
    """No text that arrives at the port may raise an exception."""
    assert codec.decode("c1" + text, 5) is None or text[0] in "rgnhqs"


@pytest.mark.parametrize(
    "text",
    [
        "c1r l1/1",
        "c2r l1/1 ",
        "c1x l1/1 ",
        "c1r l1/1  a:pl:0:0:1.l1.1.1.1",
        "c1r l1/1  a:pl:9:1:1.l1.1.1.1",
        "c1r l1/1  a:pl:0:1:9.l1.1.1.1",
        "c1r l1/1  a:pl:0:1:1.l1.1.1",
        "c1r l1/1  a:pl:0:1:1.l1.-1.1.1",
        "c1q l1/1 1-2",
        "c1q l1/1 1-2-3 a",
        "c1h l1/1  h:1:2:1:1",
        "c1h l1/1  :1:1:1:1",
        "c1r " + "l" * 9 + "/1 ",
        "c1r l1/1 " + " " * 300,
        "c1g l1/1 1-2-3 a:pl:0:1:1:1.l1.1.1.1.1",
        "c1r L1/1 ",
    ],
)
def test_a_message_with_any_invalid_part_is_rejected_entirely(text: str) -> None:
    """Of a garbled or forged datagram nothing is accepted, not even its valid parts."""
    assert codec.decode(text, 5) is None


def test_a_message_that_is_too_long_is_rejected() -> None:
    too_many = [
        CountRow("a", "pl", 0, 3, 1, f"l{n}", CountValue(NOW - 9, NOW - 4, 1000)) for n in range(20)
    ]
    text = codec.encode_header(Kind.COUNTS, "l1", NOW) + codec.encode_counts(too_many, NOW)
    assert len(text) > codec.MAX_MESSAGE_BYTES and codec.decode(text, 5) is None


@pytest.mark.parametrize("text", ["c1r nonsense", "v1p 1", "c1q l1/1 1-2"])
def test_a_datagram_that_cannot_be_decoded_is_dropped_and_counted(text: str) -> None:
    """The datagram comes from a peer of another version or is garbled; it gets no answer."""
    net = Network([FakeAccounts(3), FakeAccounts()])
    assert net.all[0].receive(1, text, NOW) == [] and net.all[0].counters["garbled"] == 1
