"""The keyed hash of datagrams."""

from __future__ import annotations

import pytest

from hazelhollow.membership.authentication import MessageAuthenticator, parse_keys
from tests.membership.test_codec import VALID

OLD, NEW, OTHER = b"o" * 16, b"n" * 16, b"x" * 16


def test_members_accept_each_other_at_each_step_of_a_key_rotation() -> None:
    """Keys reach the members one after another, so at each step some have the keys of the step
    before.
    """
    steps = [[OLD], [OLD, NEW], [NEW, OLD], [NEW]]
    for before, after in zip(steps, steps[1:], strict=False):
        for member, other in ((before, after), (after, before)):
            assert (
                MessageAuthenticator(member).verify(MessageAuthenticator(other).sign(VALID))
                == VALID
            )


@pytest.mark.parametrize(
    "text",
    [
        VALID,
        MessageAuthenticator([OTHER]).sign(VALID),
        MessageAuthenticator([OLD]).sign(VALID)[:-1],
        MessageAuthenticator([OLD]).sign(VALID).replace("v1q", "v1p"),
        "",
        "~",
        VALID + " ~" + "\xe9" * 16,
    ],
)
def test_text_without_valid_hash_is_rejected(text: str) -> None:
    """A datagram that is unsigned, signed with an unknown key, truncated or altered is rejected."""
    assert MessageAuthenticator([OLD, NEW]).verify(text) is None


def test_invalid_key_file_is_reported_with_its_fault() -> None:
    """The error for a key file with too short a key, or without any key, states that fault."""
    assert parse_keys(b"# first\n" + OLD + b"\n\n" + NEW) == [OLD, NEW]
    for text, message in ((b"short", "shorter than 16"), (b"# none\n", "no key")):
        with pytest.raises(ValueError, match=message):
            parse_keys(text)
