"""The behaviour of a complete limiter on its sockets, in the language of tests/net/scenario.py."""

from __future__ import annotations

import errno
import gc
import re
import socket
import weakref
from collections.abc import Callable

import orjson
import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.net import resp
from hazelhollow.net.command_reader import (
    MAX_BAD_COMMANDS,
    MAX_COMMANDS_PER_TURN,
    MAX_PIPELINED,
)
from hazelhollow.net.lifecycle import print_counters_every
from hazelhollow.net.scheduler import Poller
from hazelhollow.net.session import MAX_UNSENT_BYTES
from hazelhollow.net.unserved_command_limit import BURST, TOKENS_PER_S
from hazelhollow.platform_config import PlatformConfig, PlatformConfigError
from tests.net.scenario import Stage

ASK = "[Q.ASK 00000000b4d65521 r{0} c=look,t=basic,d=1000,units=1,spread=2,first=0]"
DO = "[Q.DO 00000000b4d65521 r{0} c=buy,t=basic,d=1000,k=5c0f,units=1,spread=2,first=0 BODY]"
UNKEYED_DO = DO.replace("k=5c0f,", "")  # for a class that is unsafe to repeat
VALUE = r"*3\r\n$2\r\nhi\r\n$-1\r\n$27\r\ninflight=7,queue=2,util=0.6"
GET = r"GET /discovery/hosts HTTP/1.1\r\n**\r\n"
WATCH = r"GET /discovery/hosts?from={0}&hold_ms=1500 HTTP/1.1\r\n**\r\n"
READY = "disco send whole 1 s1:in_service"


def ask(number: int, ms: int = 1000) -> str:
    return ASK.format(number).replace("d=1000", f"d={ms}")


SCENARIOS = {
    "a request is forwarded with only its wait changed, and its value returned": f"""
        a send {DO.format(1).replace("d=1000", "d=700")}
        s1 expect {DO.format(1).replace("d=1000", "d=700")}
        s1 send {VALUE}
        a expect $2\\r\\nhi""",
    "an answer that arrives in pieces is forwarded as one answer": f"""
        a send {ask(1)}
        s1 expect {ask(1)}
        s1 send *3
        s1 send $2
        a expect nothing
        s1 send hi\\r\\n$-1
        s1 send $-1
        a expect $2\\r\\nhi""",
    "a connection is reused and carries one attempt at a time": f"""
        a send {ask(1)}
        s1 expect {ask(1)}
        b send {ask(2)}
        s1.2 expect {ask(2)}
        s1.2 send {VALUE}
        b expect $2\\r\\nhi
        wait 0.05
        b send {ask(3)}
        s1.2 expect {ask(3)}
        s1.1 expect nothing""",
    "pipelined requests are answered in order": f"""
        wait 0.6
        a send {ask(1)}
        a send {ask(2)}
        a send [PING]
        s1.1 expect {ask(1)}
        s1.2 expect {ask(2)}
        s1.2 send {VALUE.replace("hi", "no")}
        a expect nothing
        s1.1 send {VALUE}
        a expect $2\\r\\nhi\\r\\n$2\\r\\nno\\r\\n+PONG""",
    "an endpoint's BUSY goes to the engine, not to the client": f"""
        a send {DO.format(1)}
        s1 expect {DO.format(1)}
        s1 send -BUSY inflight=3
        s1 expect {DO.format(1)}
        s1 send {VALUE}
        a expect $2\\r\\nhi""",
    "an error on a request of a safe class is retried": f"""
        a send {ask(1)}
        s1 expect {ask(1)}
        s1 send -ERR failed
        s1 expect {ask(1)}
        s1 send {VALUE}
        a expect $2\\r\\nhi""",
    "a keyed request whose attempt may have run is not rejected but fails": f"""
        a send {DO.format(1)}
        s1 expect {DO.format(1)}
        s1 stop
        s1 close
        a expect -ERR failed""",
    "a request whose attempt never ran is rejected with a Retry-After time": f"""
        s1 stop
        a send {DO.format(1)}
        a expect -BUSY 250""",
    "a rejection contains the Retry-After time": """
        a send [Q.ASK 00000000b4d65521 r1 c=look,t=basic,d=900,units=500,spread=2,first=0]
        a expect -BUSY 1000""",
    "at the deadline the attempt is aborted and the client answered": f"""
        a send {DO.format(1)}
        s1 expect {DO.format(1)}
        wait 0.9
        a expect nothing
        wait 0.15
        a expect -ERR failed
        s1 expect closed""",
    "an answer with a null value is malformed": f"""
        a send {DO.format(1)}
        s1 expect {DO.format(1)}
        s1 send *3\\r\\n$-1\\r\\n$-1\\r\\n$-1
        s1.1 expect closed""",
    "bytes after a complete answer close the connection, not the request": f"""
        a send {ask(1)}
        s1 expect {ask(1)}
        s1 send {VALUE}\\r\\n{VALUE}
        a expect $2\\r\\nhi
        s1.1 expect closed""",
    "a late second copy of an answer is not given to the next attempt": f"""
        a send {ask(1)}
        s1 expect {ask(1)}
        s1 send {VALUE}
        a expect $2\\r\\nhi
        a send {ask(2)}
        s1.2 expect {ask(2)}
        s1.1 send {VALUE}
        a expect nothing
        s1.2 send {VALUE.replace("hi", "no")}
        a expect $2\\r\\nno
        wait 0.05
        a send {ask(3)}
        s1.2 expect {ask(3)}
        b send {ask(4)}
        s1.1 expect closed
        s1.3 expect {ask(4)}
        a expect nothing
        b expect nothing""",
    "unreadable figures do not invalidate the answer": f"""
        a send {ask(1)}
        s1 expect {ask(1)}
        s1 send *3\\r\\n$2\\r\\nhi\\r\\n:many\\r\\n$17\\r\\ninflight=nan,=,,1
        a expect $2\\r\\nhi""",
    "an incomplete answer is given up long before the deadline": f"""
        a send {ask(1)}
        s1 expect {ask(1)}
        s1 send *3\\r\\n$20\\r\\nhi
        wait 0.8
        s1.1 expect closed
        s1.2 expect {ask(1, 500)}
        s1.2 send {VALUE}
        a expect $2\\r\\nhi""",
    "an answer with a huge announced length is rejected at its header": f"""
        a send {DO.format(1)}
        s1 expect {DO.format(1)}
        s1 send *3\\r\\n$3000000000
        s1.1 expect closed""",
    "a client that sends nothing or half a command is closed before 3 s": """
        a send [PING]
        a expect nothing
        b expect nothing
        c send *1\\r\\n$4
        wait 0.6
        a expect +PONG
        wait 1.8
        b expect closed
        c expect -ERR protocol error: incomplete command: the rest did not arrive in time
        c expect closed
        a expect nothing
        wait 9
        a expect closed""",
    "malformed bytes after an open request end it with an error, and its attempt": f"""
        a send {ask(1)}
        s1 expect {ask(1)}
        a send junk
        s1.1 expect closed
        a expect -ERR failed\\r\\n-ERR protocol error: unknown type byte b'j'
        a expect closed""",
    "an idle connection that the endpoint has closed is not reused": f"""
        a send {ask(1)}
        s1 expect {ask(1)}
        s1 send {VALUE}
        a expect $2\\r\\nhi
        s1 close
        a send {ask(2)}
        s1 expect {ask(2)}""",
    "an idle connection is closed long before the endpoint would close it": f"""
        a send {ask(1)}
        s1 expect {ask(1)}
        s1 send {VALUE}
        a expect $2\\r\\nhi
        wait 17
        s1 expect closed""",
    "a draining endpoint gets no new requests and finishes its current ones": f"""
        disco expect GET /discovery/hosts HTTP/1.1\\r\\n**\\r\\n
        {READY}
        a send {ask(1)}
        s1 expect {ask(1)}
        disco expect GET /discovery/hosts?from=1&hold_ms=1500 HTTP/1.1\\r\\n**\\r\\n
        disco send table 2 s1:terminating
        b send {ask(2)}
        b expect -BUSY 250
        s1 send {VALUE}
        a expect $2\\r\\nhi
        s1 expect closed""",
    "an unanswered discovery call is repeated on a new connection": f"""
        disco expect GET /discovery/hosts HTTP/1.1\\r\\n**\\r\\n
        wait 0.3
        disco.2 expect GET /discovery/hosts HTTP/1.1\\r\\n**\\r\\n
        disco.2 send table 1
        disco.2 expect GET /discovery/hosts?from=1&hold_ms=1500 HTTP/1.1\\r\\n**\\r\\n
        wait 2.15
        disco.3 expect GET /discovery/hosts HTTP/1.1\\r\\n**\\r\\n
        disco.3 send HTTP/1.1 200 OK\\r\\nContent-Length: 4\\r\\n\\r\\nnull
        wait 0.1
        disco.4 expect GET /discovery/hosts HTTP/1.1\\r\\n**\\r\\n
        a send {ask(1)}
        s1 expect {ask(1)}""",
    "PING is answered once the limiter is ready": f"""
        a send [PING]
        a expect nothing
        disco expect GET /discovery/hosts HTTP/1.1\\r\\n**\\r\\n
        {READY}
        a expect +PONG""",
    "without discovery the limiter is ready with its configured list": f"""
        a send [PING]
        wait 0.6
        a expect +PONG
        a send {ask(1)}
        s1 expect {ask(1)}""",
    "malformed input ends its sender's connection with an error, no other": f"""
        b send {ask(1)}
        a send GET / HTTP/1.1
        a expect -ERR protocol error: unknown type byte b'G'
        a expect closed
        c send *1\\r\\n$99999999
        c expect -ERR protocol error: length 99999999 out of range, at most 65536
        s1 expect {ask(1)}
        s1 send {VALUE}
        b expect $2\\r\\nhi""",
    "an id of an open request is an error, and the first request is answered": f"""
        a send {ask(1)}
        s1 expect {ask(1)}
        b send {ask(1)}
        b expect -ERR failed
        s1.1 expect nothing
        s1.1 send {VALUE}
        a expect $2\\r\\nhi""",
    "a bad request is an error and the connection stays open": """
        a send [Q.ASK 00000000b4d65521 r1 c=look,d=soon]
        a expect -ERR unreadable request
        a send [Q.ASK x]
        a expect -ERR wrong number of arguments
        a send [FLUSHALL]
        a expect -ERR unknown command
        a send [CLIENT SETNAME x]
        a expect +OK""",
    (
        "a reload moves the watch immediately, requests the complete list and keeps clients, "
        "attempts and endpoints"
    ): f"""
        disco expect {GET}
        {READY}
        disco expect {WATCH.format(1)}
        a send {ask(1)}
        s1 expect {ask(1)}
        disco2 reload
        disco.1 expect closed
        disco2 expect {GET}
        disco2 send whole 1 s1:in_service
        disco2 expect {WATCH.format(1)}
        s1.1 send {VALUE}
        a expect $2\\r\\nhi
        wait 0.05
        a send {ask(2)}
        s1.1 expect {ask(2)}
        disco2 reload
        disco2 expect nothing""",
    "malformed datagrams from peers have no effect": f"""
        p1 send \x00\x01
        p1 send {"h" * 300}
        a send {ask(1)}
        s1 expect {ask(1)}""",
}


BEFORE_DISCOVERY = {  # played from the start of the limiter, before discovery has answered
    "a client that sends nothing or half a command is closed before 3 s",
    "PING is answered once the limiter is ready",
    "without discovery the limiter is ready with its configured list",
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario(name: str) -> None:
    Stage(hosts=1, discovery_answered=name not in BEFORE_DISCOVERY).play(SCENARIOS[name])


def test_disconnect_notifies_the_engine_and_the_answer_is_still_read() -> None:
    """A client disconnects while its attempt is in flight.

    The engine must be notified, and the endpoint's answer read, so that the connection can be
    reused.
    """
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}\na close")
    assert (
        stage.service.stats.clients_gone == 1
        and len(stage.service.engine_driver.open_requests) == 1
    )
    stage.play(f"s1 send {VALUE}\nwait 0.05\nb send {ask(2)}\ns1.1 expect {ask(2)}")
    assert stage.service.stats.served == 0 and list(stage.service.engine_driver.open_requests) == [
        "r2"
    ]


def test_ended_sessions_connections_and_requests_are_freed_without_gc() -> None:
    """Guards against reference cycles that keep an ended session, request or connection alive.

    Memory would grow until the cycle collector runs, which is rare on a busy limiter.
    """
    stage = Stage(hosts=1)
    gc.collect()
    gc.disable()
    try:
        stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
        (session,), (opened,) = (
            stage.service.frontend.sessions.sessions,
            stage.service.engine_driver.open_requests.values(),
        )
        (endpoint_connection,) = stage.service.pool._endpoints["s1"].connections
        ended: list[Callable[[], object]] = [
            weakref.ref(session),
            weakref.ref(opened),
            weakref.ref(endpoint_connection),
        ]
        stage.play(
            f"s1 send {VALUE}\na expect $2\\r\\nhi\na send {ask(2, 0)}\na expect -BUSY\na "
            "close\ns1 close\nwait 17"
        )
        del session, opened, endpoint_connection
        assert [ref() for ref in ended] == [None, None, None]
    finally:
        gc.enable()


def test_request_goes_to_another_endpoint_after_a_refused_connection() -> None:
    """An endpoint refuses the connection.

    The request cannot have run, so it goes to another endpoint even if it is not idempotent.
    """
    stage = Stage(hosts=2)
    stage.play(
        f"s1 stop\na send {DO.format(1)}\ns2 expect {DO.format(1)}\ns2 send {VALUE}\na "
        "expect $2\\r\\nhi"
    )
    assert set(stage.service.stats.outcomes) <= {"ok", "connect_failed"}


def test_unsent_attempt_to_a_draining_endpoint_ends_as_connect_failed() -> None:
    """A connection is established after its endpoint has started to drain.

    The drain must take effect within 250 ms, so the request must go to another endpoint.
    """
    stage = Stage(hosts=2)
    stage.play("disco expect GET /discovery/hosts HTTP/1.1\\r\\n**\\r\\n")
    stage.service.engine_driver.notify(
        stage.service.endpoint_list.apply(stage.table("whole", 2, "s1:in_service"))
    )
    stage.service.pool.set_endpoints({"s1": ("127.0.0.1", 9)})
    done: list[str] = []
    attempt = stage.service.pool.start("s1", b"x" * 10, lambda result: done.append(result.status))
    assert attempt.connection and not attempt.connection.has_sent_any()
    stage.service.pool.set_endpoints({})
    assert done == ["connect_failed"]


def test_idle_endpoint_connection_is_not_polled() -> None:
    """Each needlessly polled descriptor, and each needless poll, costs CPU on every request."""
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
    turns: list[int] = []
    before = len(stage.scheduler._interest)
    stage.scheduler._poll = CountingPoller(stage.scheduler._poll, turns)
    stage.play(f"s1 send {VALUE}\na expect $2\\r\\nhi\na send {ask(2, 0)}\na expect -BUSY")
    assert len(stage.scheduler._interest) == before - 1 and sum(turns) == 2


class CountingPoller:
    """A poll object that records how many descriptors were ready at each call."""

    def __init__(self, inner: Poller, ready: list[int]) -> None:
        self.register, self.unregister = inner.register, inner.unregister
        self._inner, self._ready = inner, ready

    def poll(self, timeout: float, /) -> list[tuple[int, int]]:
        found = self._inner.poll(timeout)
        self._ready.append(len(found))
        return found


def test_engine_error_at_one_request_fails_only_that_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The engine raises an exception at one request; later requests must still be served."""
    stage, seen = Stage(hosts=1), []
    original_handle = stage.service.engine_driver._decisions.handle

    def handle(event: api.Event, now: float) -> list[api.Action]:
        seen.append(now)
        if isinstance(event, api.RequestArrived) and event.id == "r1":
            raise RuntimeError("broken")
        return original_handle(event, now)

    monkeypatch.setattr(stage.service.engine_driver._decisions, "handle", handle)
    stage.play(f"a send {ask(1)}\na expect -ERR failed\na send {ask(2)}\ns1 expect {ask(2)}")
    assert stage.service.stats.errors == 1 and seen == sorted(seen)


def test_timer_fires_again_after_an_engine_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """The engine raises an exception at a timer, before it has set the next one.

    Without another call of that timer, all periodic work would stop.
    """
    stage, timers = Stage(hosts=1), []

    def handle(event: api.Event, now: float) -> list[api.Action]:
        timers.append(event)
        raise RuntimeError("broken")

    monkeypatch.setattr(stage.service.engine_driver._decisions, "handle", handle)
    stage.play("wait 3.5")
    assert len(timers) >= 3 and all(isinstance(event, api.TimerFired) for event in timers)


def test_unreadable_list_entry_is_skipped_and_errors_keep_the_watch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A complete list contains unreadable entries, and then applying a list raises an exception.

    The other entries must be applied, and the watch must continue.
    """
    stage = Stage(hosts=1)
    table = stage.table("whole", 3, "s1:in_service")
    table["endpoints"] += [
        "odd",
        {"name": "s9", "address": "nowhere", "status": "in_service"},
        {"status": "new"},
    ]
    event = stage.service.endpoint_list.apply(table)
    assert (
        [entry.name for entry in event.entries]
        == ["s1"]
        == list(stage.service.endpoint_list.addresses)
    )
    monkeypatch.setattr(stage.service.endpoint_list, "apply", lambda document: 1 / 0)
    stage.play(f"""
        disco expect GET /discovery/hosts HTTP/1.1\\r\\n**\\r\\n
        {READY}
        wait 0.3
        disco.2 expect GET /discovery/hosts HTTP/1.1\\r\\n**\\r\\n""")


def test_request_without_a_decision_fails_at_its_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The engine never decides on a request; the client must get an error at the deadline."""
    stage = Stage(hosts=1)
    monkeypatch.setattr(stage.service.engine_driver._decisions, "handle", lambda event, now: [])
    stage.play(f"a send {ask(1)}\na expect nothing\nwait 1.01\na expect -ERR failed")
    assert not stage.service.engine_driver.open_requests and stage.service.stats.rescued == 1


def test_requests_are_served_after_sigterm_until_all_are_answered() -> None:
    """SIGTERM arrives while a request is in flight.

    New requests are served for a while, all accepted ones are answered, then the process ends.
    """
    stage = Stage(hosts=1)
    stage.play(
        f"a send {ask(1, 2500)}\ns1 expect {ask(1, 2500)}\nb send [PING]\nwait 0.5\nb expect +PONG"
    )
    stage.service.shutdown.begin()
    stage.play(f"""
        wait 0.4
        c send {ask(2, 2500)}
        s1.2 expect {ask(2, 2500)}
        s1.2 send {VALUE}
        c expect $2\\r\\nhi
        wait 0.2
        b expect closed
        c expect closed
        wait 0.5
        a expect nothing
        s1.1 send {VALUE}
        a expect $2\\r\\nhi
        a expect closed""")
    assert (
        not stage.service.frontend.sessions.sessions and not stage.scheduler._stopped
    )  # the clients have not closed their side
    stage.play("a close\nb close\nc close\nwait 0.1")
    assert stage.scheduler._stopped


def test_reload_with_unreadable_configuration_changes_nothing() -> None:
    """The configuration cannot be read at SIGHUP.

    The old one must remain in force, and requests must still be served.
    """

    def unreadable() -> PlatformConfig:
        raise PlatformConfigError("not a JSON object")

    stage = Stage(hosts=1)
    stage.play(f"disco expect {GET}\n{READY}\ndisco expect {WATCH.format(1)}")
    stage.service.settings_reload.reload(unreadable)
    stage.play(f"disco expect nothing\na send {ask(1)}\ns1 expect {ask(1)}")


def test_longest_idle_session_is_closed_at_the_session_limit() -> None:
    """Clients have reached the session limit.

    A new client must replace the connection that has been idle longest, never one in use.
    """
    stage = Stage(hosts=2, sockets=0)  # allows 6 connections to endpoints and 9 from clients
    for number in range(8):
        stage.play(f"c{number} send {ask(number)}")
    stage.settle()
    assert stage.service.stats.no_descriptor >= 2 and len(stage.service.pool._connections) == 6
    for number in range(20):
        stage.play(f"d{number} send [CLIENT]\nd{number} expect +OK")
    assert len(stage.service.frontend.sessions.sessions) <= 9


FIELDS = "c=look,t=basic,d=900,units=1,spread=2,first=0"


@pytest.mark.parametrize(
    "change",
    [
        "c=looks",
        "c=",
        "t=look",
        "units=nan",
        "units=inf",
        "units=-4",
        "units=0",
        "units=501",
        "units=1e2",
        "units=",
        "d=-5",
        "d=99999999999999999999999",
        "d=3001",
        "d=1.5",
        "d=",
        "d=١",
        "spread=0",
        "spread=3",
        "spread=x",
        "first=2",
        "first=-1",
        "first=0.5",
        "first=0,first=0",
        "c=buy",
    ],
)
def test_field_not_allowed_by_settings_is_an_error_and_not_forwarded(change: str) -> None:
    """A request contains a value that the settings do not allow.

    It must get an error and reach neither the engine nor an endpoint.
    """
    stage, name = Stage(hosts=1), change.partition("=")[0]
    fields = re.sub(rf"\b{name}=[^,]*", change, FIELDS)
    stage.play(
        f"a send [Q.ASK 00000000b4d65521 r1 {fields}]\nb send [Q.ASK 00000000b4d65521 r2 {FIELDS}]"
    )
    assert stage.service.stats.bad == 1 and stage.service.stats.requests == 1
    assert stage._end("a").recv(99).startswith(b"-ERR ")


@pytest.mark.parametrize(
    "words",
    [
        "fec7e8cfb5b19089 r1",
        "0000000200000000 r1",
        "x r1",
        "00000000B4D65521 r1",
        "00000000b4d65521 " + "r" * 65,
    ],
)
def test_invalid_customer_or_request_id_is_an_error(words: str) -> None:
    """A request contains a customer or an id that the protocol does not allow."""
    Stage(hosts=1).play(
        f"a send [Q.ASK {words} {FIELDS}]\na expect -ERR no such customer, or no id"
    )


def test_too_many_bad_commands_close_the_connection() -> None:
    """A client keeps sending bad commands; MAX_BAD_COMMANDS of them end its connection."""
    stage = Stage(hosts=1)
    stage.play("a send " + "[Q.ASK x]".join([""] * 2))
    stage._end("a").sendall(resp.encode_command([b"Q.ASK", b"x"]) * 100)
    stage.settle()
    assert (
        stage.service.stats.bad == MAX_BAD_COMMANDS and not stage.service.frontend.sessions.sessions
    )


def test_client_retrying_rejections_immediately_is_throttled() -> None:
    """A client retries each rejected request immediately.

    Without throttling it would use the CPU time of all other clients.
    """
    stage = Stage(hosts=1)
    for number in range(40):
        stage._end("a").sendall(stage.bytes_of(ask(number, 0)) * 10)
        stage.settle(20)
    accepted = stage.service.stats.requests
    assert BURST <= accepted <= BURST + 2
    stage.play(f"b send {ask(1)}\ns1 expect {ask(1)}\nwait 1")
    assert (
        accepted + 0.9 * TOKENS_PER_S
        <= stage.service.stats.requests
        <= accepted + 1.1 * TOKENS_PER_S + 1
    )


def test_burst_of_commands_lets_others_run_and_is_fully_answered() -> None:
    """One client sends many commands in one burst.

    Other clients must be served in between, and all commands must be answered.
    """
    stage = Stage(hosts=1)
    stage._end("a").sendall(resp.encode_command([b"SELECT", b"0"]) * 300)
    stage.settle(4)
    assert 0 < stage.service.stats.commands <= 4 * MAX_COMMANDS_PER_TURN
    stage.play("b send [SELECT 0]\nb expect +OK\nwait 1.1")
    assert stage.service.stats.commands == 301


def test_command_waiting_unread_has_that_time_subtracted() -> None:
    """A command waits in the connection because its client is throttled.

    That time must be subtracted from the time that the client still waits.
    """
    stage = Stage(hosts=1)
    stage._end("a").sendall(resp.encode_command([b"SELECT", b"0"]) * 250 + stage.bytes_of(ask(1)))
    stage.play(f"wait 0.55\ns1 expect {ask(1, 500)}")
    (opened,) = stage.service.engine_driver.open_requests.values()
    assert opened.parsed.request.time_left <= 0.55


def test_sessions_kept_after_one_command_are_closed_longest_idle_first() -> None:
    """Many clients send one command and keep their connections open forever.

    The longest idle ones must be closed, or new clients could not connect.
    """
    stage = Stage(hosts=1, sockets=80)  # allows 28 clients, of which 20 may have sent a command
    for number in range(25):
        stage.play(
            f"c{number} send [SELECT 0]\nc{number} expect +OK\nc0 send [SELECT 0]\nc0 "
            "expect +OK\nwait 0.1"
        )
    assert len(stage.service.frontend.sessions.sessions) == 20
    stage.play(
        "c1 expect closed\nc5 expect closed\nc6 expect nothing\nc24 expect nothing\nc0 "
        "send [PING]\nc0 expect +PONG"
    )


def test_silent_sessions_are_closed_first_at_the_session_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Sessions without a command are closed before those that have sent one."""
    stage = Stage(hosts=1, sockets=0)  # allows nine clients
    stage.play("a send [SELECT 0]\na expect +OK\nwait 0.1")
    for number in range(20):
        stage._end(f"silent{number}")
        stage.settle(5)
    stage.play("a expect nothing\na send [SELECT 0]\na expect +OK")
    assert len(stage.service.frontend.sessions.sessions) == 9


def no_descriptor(*_: object, **__: object) -> socket.socket:
    raise OSError(errno.EMFILE, "none left")


def test_no_descriptor_for_attempt_counts_as_connect_failed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """No descriptor is left for a connection to an endpoint, so the request cannot have run."""
    stage = Stage(hosts=1)
    stage.play("a send [CLIENT]\na expect +OK")
    monkeypatch.setattr("socket.socket", no_descriptor)
    stage.play(f"a send {DO.format(1)}\na expect -BUSY 250")
    assert set(stage.service.stats.outcomes) == {"connect_failed"}


def test_no_descriptor_for_accept_closes_an_idle_session(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The operating system has no descriptor left for a client that connects.

    An idle connection must be closed to free one.
    """
    stage = Stage(hosts=1)
    stage.play("a send [CLIENT]\na expect +OK")
    stage._end("b")
    with monkeypatch.context() as patch:
        patch.setattr(socket.socket, "accept", no_descriptor)
        stage.settle()
    stage.play("a expect closed\nwait 0.1\nb send [CLIENT]\nb expect +OK")


def test_client_reading_no_answers_is_closed_and_its_memory_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A client requests large answers and reads none.

    It must be closed after STALL_TIMEOUT_S and hold no more memory than its buffers.
    """
    monkeypatch.setattr("hazelhollow.net.unserved_command_limit.BURST", 1e6)
    stage = Stage(hosts=1)
    stage._end("a").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    stage.play("wait 0.6")
    for _ in range(300):  # answers of 2 KiB that the client does not read
        try:
            stage._end("a").sendall(resp.encode_command([b"INFO"]) * 60)
        except BlockingIOError:
            break
        stage.settle(5)
    (session,) = stage.service.frontend.sessions.sessions
    held = len(session._stream.send_buffer) + sum(len(slot.answer or b"") for slot in session.slots)
    assert 0 < held <= MAX_UNSENT_BYTES + MAX_PIPELINED * 4096
    stage.play("wait 11")
    assert not stage.service.frontend.sessions.sessions


def test_commands_beyond_pipeline_limit_wait_unread(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A client sends more commands than may be open at the same time.

    The rest must not be read until earlier ones are answered.
    """
    stage = Stage(hosts=1)
    monkeypatch.setattr(stage.service.engine_driver._decisions, "handle", lambda event, now: [])
    for number in range(MAX_PIPELINED + 20):
        stage.play(f"a send {ask(number)}")
    assert (
        stage.service.stats.requests
        == len(stage.service.engine_driver.open_requests)
        == MAX_PIPELINED
    )
    stage.play("wait 1.1")
    assert stage.service.stats.requests == MAX_PIPELINED + 20


def test_no_request_loses_its_answer_if_total_client_memory_is_exceeded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Slow clients are each within their bound but need more than the total together.

    Trouble with other clients frees no request of its final answer: those for which there is no
    room wait for it until their time is over, and a session that holds only a part of a command is
    ended with an error.
    """
    stage = Stage(hosts=1, memory_mb=1)  # of which 0.4 is for clients
    memory = stage.service.frontend.memory
    monkeypatch.setattr(stage.service.engine_driver._decisions, "handle", lambda event, now: [])
    stage._end("partial").sendall(b"*5\r\n$4\r\nQ.DO\r\n$65536\r\n" + b"B" * 60_000)
    for number in range(8):
        stage.play(f"c{number} send {DO.format(number).replace('BODY', 'B' * (8000 * number + 1))}")
        assert memory.held_bytes <= memory.max_bytes + resp.MAX_STRING_BYTES
    assert len(stage.service.frontend.sessions.sessions) == 9
    assert len(stage.service.engine_driver.open_requests) < 8
    stage.play("wait 0.3")
    stage.play(
        "partial expect -ERR protocol error: too many clients hold parts of commands\n"
        "partial expect closed"
    )
    stage.play(f"c7 send {ask(70)}\nc0 send {ask(71)}")
    assert stage.service.stats.relieved == 1 and not stage.service.stats.clients_gone
    stage.play("wait 0.9")
    for number in range(1, 7):
        stage.play(f"c{number} expect -ERR failed")
    stage.play("wait 1.2\nc7 expect -ERR failed\\r\\n-ERR failed")
    stage.play("c0 expect -ERR failed\\r\\n-ERR failed")
    assert memory.held_bytes == 0


def test_large_body_and_value_are_forwarded_in_parts() -> None:
    stage, body = Stage(hosts=1), "B" * 65536
    stage.play(
        f"a send {DO.format(1).replace('BODY', body)}\ns1 expect "
        f"{DO.format(1).replace('BODY', body)}"
    )
    stage.play(f"s1 send *3\\r\\n$65536\\r\\n{body}\\r\\n$-1\\r\\n$-1\na expect $65536\\r\\n{body}")


def test_request_read_late_has_that_time_subtracted() -> None:
    """The event loop was busy and reads a request late.

    The time since the request may have arrived must be subtracted from the client's wait.
    """
    stage = Stage(hosts=1)
    stage.play("a send [CLIENT]\na expect +OK")
    stage._end("a").sendall(stage.bytes_of(ask(1)))
    stage.now += 0.2
    stage.play(f"s1 expect {ask(1, 800)}\nwait 0.81\ns1 expect closed")


def test_periodic_counters_print_on_full_seconds_with_refusal_reasons(
    capsys: pytest.CaptureFixture[str],
) -> None:
    stage = Stage(hosts=1)
    print_counters_every(stage.service, 1.0)  # the stage's clock starts on a full second
    stage.play(f"a send {ask(1).replace('units=1', 'units=400')}\nwait 1.1")
    lines = [
        orjson.loads(line) for line in capsys.readouterr().err.splitlines() if line.startswith("{")
    ]
    assert [int(line["at"]) for line in lines] == [1_000_001] and lines[0]["refusals"] == {
        "quota": 1
    }


def test_bad_commands_until_close_get_exactly_one_answer_each() -> None:
    """A client sends bad commands until its connection is closed.

    An additional error would be mistaken for the answer to the client's next command.
    """
    stage = Stage(hosts=1)
    end = stage._end("a")
    end.sendall(resp.encode_command([b"Q.ASK", b"x"]) * MAX_BAD_COMMANDS)
    stage.play("wait 2.5")
    got = b""
    while True:
        try:
            data = end.recv(1 << 16)
        except (BlockingIOError, ConnectionResetError):
            break
        if not data:
            break
        got += data
    assert got.count(b"\r\n") == MAX_BAD_COMMANDS and not stage.service.frontend.sessions.sessions


def test_requests_before_discovery_wait_for_its_first_list() -> None:
    """The configured list may be outdated and contain an endpoint that drains by now.

    Requests must therefore wait for discovery's first answer.
    """
    stage = Stage(hosts=2, discovery_answered=False)
    stage.play(f"a send {ask(1)}\nwait 0.1")
    assert stage.service.stats.requests == 0 and stage.service.stats.attempts == 0
    stage.play(
        f"disco expect {GET}\ndisco send whole 2 s1:in_service s2:terminating\ns1 expect "
        f"{ask(1, 900)}"
    )
    assert stage.service.stats.requests == 1


def test_configured_list_is_used_if_discovery_does_not_answer_in_time() -> None:
    """Discovery never answers.

    After READY_WITHOUT_DISCOVERY_AFTER_S the configured list is used.
    """
    stage = Stage(hosts=1, discovery_answered=False)
    stage.play(f"a send {ask(1)}\nwait 0.2")
    assert stage.service.stats.attempts == 0
    stage.play(f"wait 0.3\ns1 expect {ask(1, 500)}")  # the wait is subtracted
