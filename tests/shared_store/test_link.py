"""One connection to the store, byte by byte against the stand-in, with a clock set by hand."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.net.backoff import Backoff
from hazelhollow.shared_store.leased_account import ScriptCall
from hazelhollow.shared_store.link import (
    Answered,
    CallFailed,
    Connected,
    ConnectionBroken,
    LateAnswer,
)
from hazelhollow.standins.redis import faults
from tests.net.scenario import START
from tests.shared_store.ledger_fleet import Conversation


@pytest.mark.parametrize("step", [1, 7, 1 << 20])
def test_the_link_shakes_hands_and_matches_answers_split_anywhere(step: int) -> None:
    conversation = Conversation(secret="pw", password="pw", database=3)
    (up,) = conversation.exchange(step)
    assert isinstance(up, Connected) and up.store_started_at == up.store_now == START
    calls = [conversation.lease(n) for n in (1, 2, 3)]
    events = conversation.exchange(step)
    assert [n.call for n in events if isinstance(n, Answered)] == calls
    assert conversation.node.state.engine.databases[3].entries


@pytest.mark.parametrize(
    "who, kind, word",
    [
        ({"password": "no"}, "", "WRONGPASS"),
        ({}, "", "NOAUTH"),
        ({"password": "pw"}, "loading", "LOADING"),
        ({"password": "pw"}, "readonly", "replica"),
    ],
)
def test_a_store_that_refuses_us_breaks_the_connection_and_says_why(
    who: dict[str, str], kind: str, word: str
) -> None:
    """A wrong password, none, a store that is loading, a replica."""
    conversation = Conversation([faults.Fault(kind)] if kind else None, secret="pw", **who)
    events = conversation.exchange()
    assert isinstance(events[-1], ConnectionBroken) and word in str(events[-1].error)
    assert not conversation.link.call(ScriptCall("presence", "k", [], START), START)


def test_a_late_answer_is_reported_as_one_and_never_taken_for_another_calls() -> None:
    """An answer arrives after its call was given up and the next was written."""
    conversation = Conversation()
    conversation.exchange()
    first = conversation.lease(1, want=7.0)
    conversation.session.feed(bytes(conversation.link.out))
    conversation.link.out.clear()
    conversation.now += 0.06
    assert [
        n.call for n in conversation.link.tick(conversation.now) if isinstance(n, CallFailed)
    ] == [first]
    second = conversation.lease(2, want=5.0)
    late, answered = conversation.exchange()
    assert (
        isinstance(late, LateAnswer)
        and late.call is first
        and isinstance(answered, Answered)
        and answered.call is second
    )


def test_a_silent_store_is_given_up_and_a_full_line_takes_no_more() -> None:
    """The store answers nothing while eight calls are pending."""
    conversation = Conversation()
    conversation.exchange()
    calls = [conversation.lease(n) for n in range(8)]
    assert not conversation.link.call(
        ScriptCall("lease", "k", [], conversation.now), conversation.now
    )
    assert conversation.link.next_due() == conversation.now + 0.05
    conversation.now += 0.05
    assert [
        n.call for n in conversation.link.tick(conversation.now) if isinstance(n, CallFailed)
    ] == calls
    assert conversation.link.tick(conversation.now) == []  # each is given up once
    conversation.now += 0.4
    assert any(isinstance(n, ConnectionBroken) for n in conversation.link.tick(conversation.now))
    assert conversation.link.close() == []


def test_scripts_that_the_store_has_forgotten_are_loaded_again() -> None:
    """SCRIPT FLUSH: the next call fails with NOSCRIPT, the one after it is answered."""
    conversation = Conversation([faults.Fault("flush_scripts", at=1.0)])
    conversation.exchange()
    conversation.now += 1.0
    call = conversation.lease()
    (failed,) = conversation.exchange()
    assert (
        isinstance(failed, CallFailed) and failed.call is call and str(failed.error) == "NOSCRIPT"
    )
    conversation.exchange()
    conversation.lease()
    assert isinstance(conversation.exchange()[0], Answered)


@pytest.mark.parametrize(
    "junk",
    [
        b"+OK\r\n",
        b"*1\r\n$2\r\nok\r\n",
        b"*3\r\n$2\r\nok\r\n$1\r\nx\r\n$1\r\n0\r\n",
        b"*9999999\r\n",
        b"\x00\x01",
        b":5\r\n",
        b"$-1\r\n",
        b"*6\r\n$2\r\nok\r\n$3\r\nnan\r\n$1\r\n0\r\n$1\r\n1\r\n$1\r\n1\r\n$1\r\n1\r\n",
    ],
)
def test_what_is_no_answer_of_the_scripts_breaks_the_connection(junk: bytes) -> None:
    """The store, or what is in its place, sends something else."""
    conversation = Conversation()
    conversation.exchange()
    call = conversation.lease()
    events = conversation.link.receive(junk, conversation.now) or conversation.link.receive(
        b"\r\n" * 4, conversation.now
    )
    assert isinstance(events[-1], ConnectionBroken)
    assert [n.call for n in [*events, *conversation.link.close()] if isinstance(n, CallFailed)] == [
        call
    ]


@given(st.binary(max_size=200))
def test_no_bytes_make_the_link_raise(data: bytes) -> None:
    """Whatever arrives, the link must not raise."""
    conversation = Conversation()
    conversation.exchange()
    conversation.lease()
    conversation.link.receive(data, conversation.now)


def test_waits_double_up_to_their_bound_and_are_drawn() -> None:
    wait = Backoff(0.05, 2.0)
    assert [wait.next_wait(1.0) for _ in range(8)] == [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 2.0, 2.0]
    assert wait.next_wait(0.0) == 1.0
    wait.reset()
    assert wait.next_wait(1.0) == 0.05
