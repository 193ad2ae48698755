"""The exact bytes of membership's datagrams, which limiters of other versions must read."""

from __future__ import annotations

import pytest

from hazelhollow.membership import codec
from hazelhollow.membership.authentication import MessageAuthenticator
from hazelhollow.membership.codec import Message, MessageKind
from hazelhollow.membership.records import MemberState, Record, fingerprint, pack_address

MEMBERS = 2000
VERSIONS = "i4pz002k3f9005wa1cz0q1"
ADDRESS = pack_address("127.0.0.9", 7946)
SENDER = Record(3, 5_123_456_789, 2, MemberState.ALIVE, (4, 40), VERSIONS, ADDRESS)
PLAIN = Record(41, 5_123_456_789, 12, MemberState.SHUT_OUT)
RECORDS = (
    Record(5, 5_123_466_789, 0, MemberState.JOINING, (), VERSIONS),
    Record(6, 5_123_446_789, 1, MemberState.SUSPECT, (3,), "other"),
    Record(1295, 0, 0, MemberState.DEAD),
    Record(1296, 17, 36**6, MemberState.LEFT, (), "", ADDRESS),
)

MESSAGES = [
    Message(MessageKind.PING, SENDER, 7, 99, (36**4 - 1,), RECORDS),
    Message(MessageKind.ACK, PLAIN, 1, 36**5 - 1, (12,), RECORDS[1:]),
    Message(MessageKind.PING_REQUEST, PLAIN, 36**6, 0, (12, 1500), ()),
    Message(MessageKind.INDIRECT_PING, PLAIN, 40, 5, (12, 3), RECORDS[:1]),
    Message(MessageKind.INDIRECT_ACK, PLAIN, 41, 5, (12, 3, 41), ()),
    Message(
        MessageKind.BUCKET_DIGESTS, PLAIN, 42, 6, tuple(range(0, 32 * 1457, 1457)), RECORDS[2:]
    ),
    Message(MessageKind.RECORDS, SENDER, 43, 6, (), RECORDS),
    Message(MessageKind.PRESENCE_BITMAP, PLAIN, 44, 6, (1008, 0b1011 << 64 | 7), ()),
]
FULL_TEXTS = [
    (
        "v1p 3.2cqdgk5.2.1.4-14.i4pz002k3f9005wa1cz0q1.7f0000091f0a/7/2r zzzz 5.2cqdo9x.0.0..i4pz"
        "002k3f9005wa1cz0q1 6.2cqd8ud.1.3.3.other zz.0.0.4 100.h.1000000.5...7f0000091f0a"
    ),
    "v1a 15.2cqdgk5.c.2/1/zzzzz c 6.2cqd8ud.1.3.3.other zz.0.0.4 100.h.1000000.5...7f0000091f0a",
    "v1q 15.2cqdgk5.c.2/1000000/0 c-15o",
    "v1i 15.2cqdgk5.c.2/14/5 c-3 5.2cqdo9x.0.0..i4pz002k3f9005wa1cz0q1",
    "v1j 15.2cqdgk5.c.2/15/5 c-3-15",
    (
        "v1s 15.2cqdgk5.c.2/16/6 0-14h-28y-3df-4hw-5md-6qu-7vb-8zs-a49-b8q-cd7-dho-em5-fqm-gv3-hz"
        "k-j41-k8i-lcz-mhg-nlx-oqe-puv-qzc-s3t-t8a-ucr-vh8-wlp-xq6-yun zz.0.0.4 100.h.1000000.5.."
        ".7f0000091f0a"
    ),
    (
        "v1t 3.2cqdgk5.2.1.4-14.i4pz002k3f9005wa1cz0q1.7f0000091f0a/17/6  5.2cqdo9x.0.0..i4pz002k"
        "3f9005wa1cz0q1 6.2cqd8ud.1.3.3.other zz.0.0.4 100.h.1000000.5...7f0000091f0a"
    ),
    "v1b 15.2cqdgk5.c.2/18/6 s0:BwAAAAAAAAAL",
]
RELATIVE_TEXTS = [
    (
        "v1p 3.2cqdgk5.2.1.4-14.i4pz002k3f9005wa1cz0q1.7f0000091f0a/7/2r zzzz 5.+7ps.0.0= 6.-7ps."
        "1.3.3.other zz.0.0.4 100.h.1000000.5...7f0000091f0a"
    ),
    "v1a 15.2cqdgk5.c.2/1/zzzzz c 6.-7ps.1.3.3.other zz.0.0.4 100.h.1000000.5...7f0000091f0a",
    "v1q 15.2cqdgk5.c.2/1000000/0 c-15o",
    "v1i 15.2cqdgk5.c.2/14/5 c-3 5.+7ps.0.0..i4pz002k3f9005wa1cz0q1",
    "v1j 15.2cqdgk5.c.2/15/5 c-3-15",
    (
        "v1s 15.2cqdgk5.c.2/16/6 0-14h-28y-3df-4hw-5md-6qu-7vb-8zs-a49-b8q-cd7-dho-em5-fqm-gv3-hz"
        "k-j41-k8i-lcz-mhg-nlx-oqe-puv-qzc-s3t-t8a-ucr-vh8-wlp-xq6-yun zz.0.0.4 100.h.1000000.5.."
        ".7f0000091f0a"
    ),
    (
        "v1t 3.2cqdgk5.2.1.4-14.i4pz002k3f9005wa1cz0q1.7f0000091f0a/17/6  5.+7ps.0.0= 6.-7ps.1.3."
        "3.other zz.0.0.4 100.h.1000000.5...7f0000091f0a"
    ),
    "v1b 15.2cqdgk5.c.2/18/6 s0:BwAAAAAAAAAL",
]


@pytest.mark.parametrize(
    ("message", "full", "relative"), list(zip(MESSAGES, FULL_TEXTS, RELATIVE_TEXTS, strict=True))
)
def test_encoding_of_each_message_kind_is_stable(
    message: Message, full: str, relative: str
) -> None:
    """A limiter of another version in the same fleet would drop a changed format as garbled."""
    without_records = message._replace(records=())
    for text, is_relative in ((full, False), (relative, True)):
        assert codec.encode(without_records, message.records, relative=is_relative) == (
            text,
            len(message.records),
        )
        assert codec.decode(text, MEMBERS) == message


def test_keyed_hash_of_a_datagram_is_stable() -> None:
    """Datagrams with a different hash are dropped by all other limiters as unauthenticated."""
    signed = MessageAuthenticator([b"k" * 16]).sign("v1p 3.1.1.1/1/1 1")
    assert signed == "v1p 3.1.1.1/1/1 1 ~715f7731d70459e5"


def test_fingerprint_of_a_record_is_stable() -> None:
    """With a different fingerprint, limiters would never find their tables equal."""
    assert [fingerprint(record) for record in (SENDER, *RECORDS)] == [
        14132131156336183123,
        1704230829788365022,
        4528005537223895870,
        4988426202484226749,
        15551213784833051419,
    ]
