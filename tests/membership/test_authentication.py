"""The keyed hash of datagrams."""

from __future__ import annotations

import pytest

from hazelhollow.membership.authentication import MessageAuthenticator, parse_keys
from tests.membership.test_codec import SOUND

OLD, NEW, OTHER = b"o" * 16, b"n" * 16, b"x" * 16


def test_keys_can_be_changed_while_the_fleet_runs() -> None:
    """Keys reach the members one after another. At each step all members accept each other."""
    steps = [[OLD], [OLD, NEW], [NEW, OLD], [NEW]]
    for before, after in zip(steps, steps[1:], strict=False):
        for member, other in ((before, after), (after, before)):
            assert (
                MessageAuthenticator(member).verify(MessageAuthenticator(other).sign(SOUND))
                == SOUND
            )


@pytest.mark.parametrize(
    "text",
    [
        SOUND,
        MessageAuthenticator([OTHER]).sign(SOUND),
        MessageAuthenticator([OLD]).sign(SOUND)[:-1],
        MessageAuthenticator([OLD]).sign(SOUND).replace("v1q", "v1p"),
        "",
        "~",
        SOUND + " ~" + "\xe9" * 16,
    ],
)
def test_a_text_without_a_hash_of_one_of_the_keys_is_refused(text: str) -> None:
    """A datagram that is unsigned, of another key, cut short or changed on the way: it is
    refused.
    """
    assert MessageAuthenticator([OLD, NEW]).verify(text) is None


def test_a_key_file_says_what_is_wrong_with_it() -> None:
    """A key file with a short key or without one: the error names the fault."""
    assert parse_keys(b"# first\n" + OLD + b"\n\n" + NEW) == [OLD, NEW]
    for text, says in ((b"short", "shorter than 16"), (b"# none\n", "no key")):
        with pytest.raises(ValueError, match=says):
            parse_keys(text)
