"""Tests of one connection to the stand-in store, with a clock that the test sets."""

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
def test_handshake_and_answers_in_chunks_of_any_size_are_matched(step: int) -> None:
    conversation = Conversation(secret="pw", password="pw", database=3)
    (connected,) = conversation.exchange(step)
    assert (
        isinstance(connected, Connected)
        and connected.store_started_at == connected.store_now == START
    )
    calls = [conversation.lease(n) for n in (1, 2, 3)]
    events = conversation.exchange(step)
    assert [event.call for event in events if isinstance(event, Answered)] == calls
    assert conversation.node.state.engine.databases[3].entries


@pytest.mark.parametrize(
    "credentials, kind, word",
    [
        ({"password": "no"}, "", "WRONGPASS"),
        ({}, "", "NOAUTH"),
        ({"password": "pw"}, "loading", "LOADING"),
        ({"password": "pw"}, "readonly", "replica"),
    ],
)
def test_failed_handshake_breaks_the_connection_with_the_reason(
    credentials: dict[str, str], kind: str, word: str
) -> None:
    """The password is wrong or missing, or the store is loading or a replica."""
    conversation = Conversation([faults.Fault(kind)] if kind else None, secret="pw", **credentials)
    events = conversation.exchange()
    assert isinstance(events[-1], ConnectionBroken) and word in str(events[-1].error)
    assert not conversation.link.call(ScriptCall("presence", "k", [], START), START)


def test_late_answer_is_reported_as_late_and_not_matched_to_a_later_call() -> None:
    """An answer arrives after its call timed out and the next call was written."""
    conversation = Conversation()
    conversation.exchange()
    first = conversation.lease(1, wanted=7.0)
    conversation.session.feed(bytes(conversation.link.out))
    conversation.link.out.clear()
    conversation.now += 0.06
    assert [
        event.call
        for event in conversation.link.tick(conversation.now)
        if isinstance(event, CallFailed)
    ] == [first]
    second = conversation.lease(2, wanted=5.0)
    late, answered = conversation.exchange()
    assert (
        isinstance(late, LateAnswer)
        and late.call is first
        and isinstance(answered, Answered)
        and answered.call is second
    )


def test_silent_store_breaks_the_connection_and_pending_calls_are_bounded() -> None:
    """The store answers nothing while eight calls, the maximum, are pending."""
    conversation = Conversation()
    conversation.exchange()
    calls = [conversation.lease(n) for n in range(8)]
    assert not conversation.link.call(
        ScriptCall("lease", "k", [], conversation.now), conversation.now
    )
    assert conversation.link.next_due() == conversation.now + 0.05
    conversation.now += 0.05
    assert [
        event.call
        for event in conversation.link.tick(conversation.now)
        if isinstance(event, CallFailed)
    ] == calls
    assert conversation.link.tick(conversation.now) == []  # each call times out only once
    conversation.now += 0.4
    assert any(
        isinstance(event, ConnectionBroken) for event in conversation.link.tick(conversation.now)
    )
    assert conversation.link.close() == []


def test_scripts_are_loaded_again_after_a_script_flush() -> None:
    """After SCRIPT FLUSH the next call fails with NOSCRIPT, and the one after it is answered."""
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
def test_invalid_answer_breaks_the_connection(junk: bytes) -> None:
    """The store, or another server at its address, sends what the scripts cannot return."""
    conversation = Conversation()
    conversation.exchange()
    call = conversation.lease()
    events = conversation.link.receive(junk, conversation.now) or conversation.link.receive(
        b"\r\n" * 4, conversation.now
    )
    assert isinstance(events[-1], ConnectionBroken)
    assert [
        event.call
        for event in [*events, *conversation.link.close()]
        if isinstance(event, CallFailed)
    ] == [call]


@given(st.binary(max_size=200))
def test_arbitrary_bytes_do_not_make_the_link_raise(data: bytes) -> None:
    conversation = Conversation()
    conversation.exchange()
    conversation.lease()
    conversation.link.receive(data, conversation.now)


def test_backoff_waits_double_up_to_their_bound_with_jitter() -> None:
    backoff = Backoff(0.05, 2.0)
    assert [backoff.next_wait(1.0) for _ in range(8)] == [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 2.0, 2.0]
    assert backoff.next_wait(0.0) == 1.0
    backoff.reset()
    assert backoff.next_wait(1.0) == 0.05
