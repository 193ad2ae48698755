"""What a whole limiter does on its sockets, in the language of tests/net/scenario.py."""

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
from hazelhollow.net.fruitless_limit import BURST, TOKENS_PER_S
from hazelhollow.net.lifecycle import print_counters_every
from hazelhollow.net.scheduler import Poller
from hazelhollow.net.session import MAX_UNSENT_BYTES
from hazelhollow.platform_config import PlatformConfig, PlatformConfigError
from tests.net.scenario import Stage

ASK = "[Q.ASK 00000000b4d65521 r{0} c=look,t=basic,d=1000,units=1,spread=2,first=0]"
DO = "[Q.DO 00000000b4d65521 r{0} c=buy,t=basic,d=1000,k=5c0f,units=1,spread=2,first=0 BODY]"
VALUE = r"*3\r\n$2\r\nhi\r\n$-1\r\n$27\r\ninflight=7,queue=2,util=0.6"
GET = r"GET /discovery/hosts HTTP/1.1\r\n**\r\n"
WATCH = r"GET /discovery/hosts?from={0}&hold_ms=1500 HTTP/1.1\r\n**\r\n"
READY = "disco send whole 1 s1:in_service"


def ask(number: int, ms: int = 1000) -> str:
    return ASK.format(number).replace("d=1000", f"d={ms}")


SCENARIOS = {
    "a request passes unchanged but for its wait, and its value comes back": f"""
        a send {DO.format(1).replace("d=1000", "d=700")}
        s1 expect {DO.format(1).replace("d=1000", "d=700")}
        s1 send {VALUE}
        a expect $2\\r\\nhi""",
    "an answer that is split at odd places is one answer": f"""
        a send {ask(1)}
        s1 expect {ask(1)}
        s1 send *3
        s1 send $2
        a expect nothing
        s1 send hi\\r\\n$-1
        s1 send $-1
        a expect $2\\r\\nhi""",
    "a connection is used again, one attempt at a time": f"""
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
    "pipelined requests are answered in their order": f"""
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
    "a host's BUSY is the module's to judge, not the client's": f"""
        a send {DO.format(1)}
        s1 expect {DO.format(1)}
        s1 send -BUSY inflight=3
        s1 expect {DO.format(1)}
        s1 send {VALUE}
        a expect $2\\r\\nhi""",
    "an error of a safe class is tried again": f"""
        a send {ask(1)}
        s1 expect {ask(1)}
        s1 send -ERR failed
        s1 expect {ask(1)}
        s1 send {VALUE}
        a expect $2\\r\\nhi""",
    "a keyed attempt that may have run bars a refusal": f"""
        a send {DO.format(1)}
        s1 expect {DO.format(1)}
        s1 stop
        s1 close
        a expect -ERR failed""",
    "an attempt that never ran may be refused, with a time to come back": f"""
        s1 stop
        a send {DO.format(1)}
        a expect -BUSY 250""",
    "a refusal names its wait": """
        a send [Q.ASK 00000000b4d65521 r1 c=look,t=basic,d=900,units=500,spread=2,first=0]
        a expect -BUSY 1000""",
    "at the deadline the attempt is given up and the client has its answer": f"""
        a send {DO.format(1)}
        s1 expect {DO.format(1)}
        wait 0.9
        a expect nothing
        wait 0.15
        a expect -ERR failed
        s1 expect closed""",
    "a null value is none": f"""
        a send {DO.format(1)}
        s1 expect {DO.format(1)}
        s1 send *3\\r\\n$-1\\r\\n$-1\\r\\n$-1
        s1.1 expect closed""",
    "what comes behind a good answer ends the connection, not the answer": f"""
        a send {ask(1)}
        s1 expect {ask(1)}
        s1 send {VALUE}\\r\\n{VALUE}
        a expect $2\\r\\nhi
        s1.1 expect closed""",
    "what was on its way behind a good answer is not the next attempt's": f"""
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
    "figures that can't be read spoil no answer": f"""
        a send {ask(1)}
        s1 expect {ask(1)}
        s1 send *3\\r\\n$2\\r\\nhi\\r\\n:many\\r\\n$17\\r\\ninflight=nan,=,,1
        a expect $2\\r\\nhi""",
    "an answer that stops half-way is given up long before the deadline": f"""
        a send {ask(1)}
        s1 expect {ask(1)}
        s1 send *3\\r\\n$20\\r\\nhi
        wait 0.8
        s1.1 expect closed
        s1.2 expect {ask(1, 500)}
        s1.2 send {VALUE}
        a expect $2\\r\\nhi""",
    "an answer said to be huge is given up at its head": f"""
        a send {DO.format(1)}
        s1 expect {DO.format(1)}
        s1 send *3\\r\\n$3000000000
        s1.1 expect closed""",
    "a client that says nothing, or half a command, goes before 3 s": """
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
    "junk behind an open request costs no answer": f"""
        a send {ask(1)}
        s1 expect {ask(1)}
        a send junk
        a expect nothing
        s1 send {VALUE}
        a expect $2\\r\\nhi\\r\\n-ERR protocol error: unknown type byte b'j'
        a expect closed""",
    "an idle connection that the host has closed is not used": f"""
        a send {ask(1)}
        s1 expect {ask(1)}
        s1 send {VALUE}
        a expect $2\\r\\nhi
        s1 close
        a send {ask(2)}
        s1 expect {ask(2)}""",
    "an idle connection is closed long before the host would": f"""
        a send {ask(1)}
        s1 expect {ask(1)}
        s1 send {VALUE}
        a expect $2\\r\\nhi
        wait 17
        s1 expect closed""",
    "a draining host gets nothing new but finishes what it has": f"""
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
    "a silent discovery is asked again on a new connection": f"""
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
    "PING waits until the limiter is ready": f"""
        a send [PING]
        a expect nothing
        disco expect GET /discovery/hosts HTTP/1.1\\r\\n**\\r\\n
        {READY}
        a expect +PONG""",
    "without discovery it is ready with the list that it knows": f"""
        a send [PING]
        wait 0.6
        a expect +PONG
        a send {ask(1)}
        s1 expect {ask(1)}""",
    "malformed input costs its sender an error and the connection, and nobody else": f"""
        b send {ask(1)}
        a send GET / HTTP/1.1
        a expect -ERR protocol error: unknown type byte b'G'
        a expect closed
        c send *1\\r\\n$99999999
        c expect -ERR protocol error: length 99999999 out of range, at most 65536
        s1 expect {ask(1)}
        s1 send {VALUE}
        b expect $2\\r\\nhi""",
    "an id of another's open request is an error, and the owner gets its answer": f"""
        a send {ask(1)}
        s1 expect {ask(1)}
        b send {ask(1)}
        b expect -ERR failed
        s1.1 expect nothing
        s1.1 send {VALUE}
        a expect $2\\r\\nhi""",
    "a bad request is an error, and the connection goes on": """
        a send [Q.ASK 00000000b4d65521 r1 c=look,d=soon]
        a expect -ERR unreadable request
        a send [Q.ASK x]
        a expect -ERR wrong number of arguments
        a send [FLUSHALL]
        a expect -ERR unknown command
        a send [CLIENT SETNAME x]
        a expect +OK""",
    (
        "a reload moves the watch at once, asks for the whole list and keeps clients, "
        "attempts and hosts"
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
    "junk from peers changes nothing": f"""
        p1 send \x00\x01
        p1 send {"h" * 300}
        a send {ask(1)}
        s1 expect {ask(1)}""",
}


BEFORE_DISCOVERY = {  # played from the start, before discovery has answered
    "a client that says nothing, or half a command, goes before 3 s",
    "PING waits until the limiter is ready",
    "without discovery it is ready with the list that it knows",
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario(name: str) -> None:
    Stage(hosts=1, discovery_answered=name not in BEFORE_DISCOVERY).play(SCENARIOS[name])


def test_a_client_that_leaves_is_told_to_the_module_and_its_attempt_is_read_to_the_end() -> None:
    """A client disconnects while its attempt is out.

    The engine is told, and the endpoint's answer is still read, so that its connection can be used
    again.
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


def test_sessions_lines_and_requests_go_without_the_cycle_collector() -> None:
    """A session, a request or a connection that ended was kept alive by a reference cycle.

    Memory would grow until the collector runs, which a busy limiter seldom does.
    """
    stage = Stage(hosts=1)
    gc.collect()
    gc.disable()
    try:
        stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
        (session,), (one,) = (
            stage.service.frontend.sessions.sessions,
            stage.service.engine_driver.open_requests.values(),
        )
        (line,) = stage.service.pool._endpoints["s1"].connections
        ended: list[Callable[[], object]] = [
            weakref.ref(session),
            weakref.ref(one),
            weakref.ref(line),
        ]
        stage.play(
            f"s1 send {VALUE}\na expect $2\\r\\nhi\na send {ask(2, 0)}\na expect -BUSY\na "
            "close\ns1 close\nwait 17"
        )
        del session, one, line
        assert [ref() for ref in ended] == [None, None, None]
    finally:
        gc.enable()


def test_a_refused_connection_never_ran_and_another_host_is_tried() -> None:
    """An endpoint refuses the connection.

    The request cannot have run, so also one that is not idempotent goes to another endpoint.
    """
    stage = Stage(hosts=2)
    stage.play(
        f"s1 stop\na send {DO.format(1)}\ns2 expect {DO.format(1)}\ns2 send {VALUE}\na "
        "expect $2\\r\\nhi"
    )
    assert set(stage.service.stats.outcomes) <= {"ok", "connect_failed"}


def test_an_attempt_that_has_not_left_for_a_host_that_drains_goes_to_another() -> None:
    """A connection comes up after its endpoint has started to drain.

    The request goes to another endpoint, as the drain must be kept within 250 ms.
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


def test_poll_is_asked_only_about_connections_on_which_something_is_expected() -> None:
    """A needless place in its list, or a needless look, costs CPU at every request."""
    stage = Stage(hosts=1)
    stage.play(f"a send {ask(1)}\ns1 expect {ask(1)}")
    turns: list[int] = []
    before = len(stage.scheduler._interest)
    stage.scheduler._poll = Counted(stage.scheduler._poll, turns)
    stage.play(f"s1 send {VALUE}\na expect $2\\r\\nhi\na send {ask(2, 0)}\na expect -BUSY")
    assert len(stage.scheduler._interest) == before - 1 and sum(turns) == 2


class Counted:
    """A poll that keeps how many descriptors were ready each time."""

    def __init__(self, inner: Poller, ready: list[int]) -> None:
        self.register, self.unregister = inner.register, inner.unregister
        self._inner, self._ready = inner, ready

    def poll(self, timeout: float, /) -> list[tuple[int, int]]:
        found = self._inner.poll(timeout)
        self._ready.append(len(found))
        return found


def test_an_error_in_the_module_costs_one_request_its_answer_and_no_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The decision engine raises an error at one request. That one fails, the others are served."""
    stage, seen = Stage(hosts=1), []
    whole = stage.service.engine_driver._decisions.handle

    def handle(event: api.Event, now: float) -> list[api.Action]:
        seen.append(now)
        if isinstance(event, api.RequestArrived) and event.id == "r1":
            raise RuntimeError("broken")
        return whole(event, now)

    monkeypatch.setattr(stage.service.engine_driver._decisions, "handle", handle)
    stage.play(f"a send {ask(1)}\na expect -ERR failed\na send {ask(2)}\ns1 expect {ask(2)}")
    assert stage.service.stats.errors == 1 and seen == sorted(seen)


def test_a_timer_at_which_the_module_fails_comes_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """The decision engine raises an error at a timer, before it has set the next.

    The timer fires again, or everything periodic would stop.
    """
    stage, timers = Stage(hosts=1), []

    def handle(event: api.Event, now: float) -> list[api.Action]:
        timers.append(event)
        raise RuntimeError("broken")

    monkeypatch.setattr(stage.service.engine_driver._decisions, "handle", handle)
    stage.play("wait 3.5")
    assert len(timers) >= 3 and all(isinstance(event, api.TimerFired) for event in timers)


def test_an_odd_entry_hides_no_other_and_an_error_does_not_end_the_watch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A whole list holds one entry that cannot be read, and then taking in a list fails.

    The other entries are taken, and the watch goes on.
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


def test_a_request_that_the_module_forgets_is_answered_at_its_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The decision engine never answers a request. At the deadline the client gets an error."""
    stage = Stage(hosts=1)
    monkeypatch.setattr(stage.service.engine_driver._decisions, "handle", lambda event, now: [])
    stage.play(f"a send {ask(1)}\na expect nothing\nwait 1.01\na expect -ERR failed")
    assert not stage.service.engine_driver.open_requests and stage.service.stats.rescued == 1


def test_at_sigterm_it_serves_on_and_leaves_once_all_is_answered() -> None:
    """SIGTERM comes with a request in flight.

    New ones are served for a while, everything taken is answered, then the process ends.
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
    )  # the clients have not ended theirs
    stage.play("a close\nb close\nc close\nwait 0.1")
    assert stage.scheduler._stopped


def test_a_new_configuration_that_cannot_be_read_changes_nothing() -> None:
    """SIGHUP finds a configuration that cannot be read.

    The old one stays in force, and requests are served.
    """

    def unreadable() -> PlatformConfig:
        raise PlatformConfigError("not a JSON object")

    stage = Stage(hosts=1)
    stage.play(f"disco expect {GET}\n{READY}\ndisco expect {WATCH.format(1)}")
    stage.service.settings_reload.reload(unreadable)
    stage.play(f"disco expect nothing\na send {ask(1)}\ns1 expect {ask(1)}")


def test_a_limiter_out_of_descriptors_gives_up_idle_connections_first() -> None:
    """Clients take all places.

    A new one gets the place of the connection that is idle longest, never one in use.
    """
    stage = Stage(hosts=2, sockets=0)  # leaves room for 6 to backend hosts and 9 from clients
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
def test_a_request_that_the_settings_rule_out_is_an_error_and_reaches_nobody(change: str) -> None:
    """A request says something that the settings do not allow.

    It gets an error and reaches neither the engine nor an endpoint.
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
def test_a_customer_or_an_id_that_cannot_be_is_an_error(words: str) -> None:
    """A request names a customer or an id that the protocol does not allow. It gets an error."""
    Stage(hosts=1).play(
        f"a send [Q.ASK {words} {FIELDS}]\na expect -ERR no such customer, or no id"
    )


def test_bad_commands_without_end_end_the_connection() -> None:
    """A client sends one bad command after another. After MAX_BAD_COMMANDS the connection ends."""
    stage = Stage(hosts=1)
    stage.play("a send " + "[Q.ASK x]".join([""] * 2))
    stage._end("a").sendall(resp.encode_command([b"Q.ASK", b"x"]) * 100)
    stage.settle()
    assert (
        stage.service.stats.bad == MAX_BAD_COMMANDS and not stage.service.frontend.sessions.sessions
    )


def test_who_is_turned_away_and_asks_again_at_once_waits_its_turn() -> None:
    """A client that is rejected asks again at once.

    It is slowed down, or it would take the processor from all others.
    """
    stage = Stage(hosts=1)
    for number in range(40):
        stage._end("a").sendall(stage.bytes_of(ask(number, 0)) * 10)
        stage.settle(20)
    taken = stage.service.stats.requests
    assert BURST <= taken <= BURST + 2
    stage.play(f"b send {ask(1)}\ns1 expect {ask(1)}\nwait 1")
    assert (
        taken + 0.9 * TOKENS_PER_S <= stage.service.stats.requests <= taken + 1.1 * TOKENS_PER_S + 1
    )


def test_many_commands_at_once_let_others_have_their_turn_and_are_all_answered() -> None:
    """One client sends many commands at once.

    Others get their turn in between, and all are answered.
    """
    stage = Stage(hosts=1)
    stage._end("a").sendall(resp.encode_command([b"SELECT", b"0"]) * 300)
    stage.settle(4)
    assert 0 < stage.service.stats.commands <= 4 * MAX_COMMANDS_PER_TURN
    stage.play("b send [SELECT 0]\nb expect +OK\nwait 1.1")
    assert stage.service.stats.commands == 301


def test_a_command_that_waited_for_its_turn_has_so_much_less_time() -> None:
    """A command waited in the connection for its turn.

    That time is taken off what its client still waits.
    """
    stage = Stage(hosts=1)
    stage._end("a").sendall(resp.encode_command([b"SELECT", b"0"]) * 250 + stage.bytes_of(ask(1)))
    stage.play(f"wait 0.55\ns1 expect {ask(1, 500)}")
    (one,) = stage.service.engine_driver.open_requests.values()
    assert one.parsed.request.time_left <= 0.55


def test_connections_of_clients_that_ask_once_and_stay_go_before_others_find_none_left() -> None:
    """Many clients ask once and keep their connections for good.

    The idlest are closed, or new clients would find no place.
    """
    stage = Stage(hosts=1, sockets=80)  # room for 28 clients, of which 20 that have asked are kept
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


def test_of_idle_connections_those_that_never_spoke_go_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A place is needed. Connections that never brought a command go before those that did."""
    stage = Stage(hosts=1, sockets=0)  # room for nine clients
    stage.play("a send [SELECT 0]\na expect +OK\nwait 0.1")
    for number in range(20):
        stage._end(f"silent{number}")
        stage.settle(5)
    stage.play("a expect nothing\na send [SELECT 0]\na expect +OK")
    assert len(stage.service.frontend.sessions.sessions) == 9


def no_descriptor(*_: object, **__: object) -> socket.socket:
    raise OSError(errno.EMFILE, "none left")


def test_an_attempt_for_which_no_descriptor_is_left_never_ran(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """No descriptor is left for a connection to an endpoint. The attempt counts as never sent."""
    stage = Stage(hosts=1)
    stage.play("a send [CLIENT]\na expect +OK")
    monkeypatch.setattr("socket.socket", no_descriptor)
    stage.play(f"a send {DO.format(1)}\na expect -BUSY 250")
    assert set(stage.service.stats.outcomes) == {"connect_failed"}


def test_accepting_without_a_descriptor_costs_an_idle_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The system has no descriptor for a client that connects.

    An idle connection is closed for it.
    """
    stage = Stage(hosts=1)
    stage.play("a send [CLIENT]\na expect +OK")
    stage._end("b")
    with monkeypatch.context() as patch:
        patch.setattr(socket.socket, "accept", no_descriptor)
        stage.settle()
    stage.play("a expect closed\nwait 0.1\nb send [CLIENT]\nb expect +OK")


def test_a_client_that_takes_nothing_is_given_up_and_holds_no_more_than_its_ring(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A client asks for large values and reads none.

    It is closed after STALL_TIMEOUT_S and holds no more than its buffers.
    """
    monkeypatch.setattr("hazelhollow.net.fruitless_limit.BURST", 1e6)
    stage = Stage(hosts=1)
    stage._end("a").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    stage.play("wait 0.6")
    for _ in range(300):  # answers of 2 KiB that nobody reads
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


def test_the_commands_of_a_greedy_client_wait_in_its_own_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A client sends more commands than may be open at once.

    The rest is not read until there is room.
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


def test_of_clients_that_hold_too_much_together_the_largest_goes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Slow clients together hold more memory than there is, each within its bound.

    The largest is closed.
    """
    stage = Stage(hosts=1, memory_mb=1)  # a quarter of it for clients
    monkeypatch.setattr(stage.service.engine_driver._decisions, "handle", lambda event, now: [])
    for number in range(9):
        stage.play(f"c{number} send {DO.format(number).replace('BODY', 'B' * (8000 * number + 1))}")
    assert len(stage.service.frontend.sessions.sessions) == 9
    stage.play("wait 0.6\nc8 expect closed\nc0 expect nothing\nc5 expect nothing")
    assert stage.service.stats.relieved == stage.service.stats.clients_gone == 1


def test_a_large_body_and_value_pass_through_in_parts() -> None:
    stage, body = Stage(hosts=1), "B" * 65536
    stage.play(
        f"a send {DO.format(1).replace('BODY', body)}\ns1 expect "
        f"{DO.format(1).replace('BODY', body)}"
    )
    stage.play(f"s1 send *1\\r\\n$65536\\r\\n{body}\na expect $65536\\r\\n{body}")


def test_the_remaining_wait_runs_from_when_the_request_may_have_come() -> None:
    """The loop was busy and reads a request late.

    The time that it waited unread is taken off what its client still waits.
    """
    stage = Stage(hosts=1)
    stage.play("a send [CLIENT]\na expect +OK")
    stage._end("a").sendall(stage.bytes_of(ask(1)))
    stage.now += 0.2
    stage.play(f"s1 expect {ask(1, 800)}\nwait 0.81\ns1 expect closed")


def test_counters_are_printed_at_whole_seconds_with_refusals_by_reason(
    capsys: pytest.CaptureFixture[str],
) -> None:
    stage = Stage(hosts=1)
    print_counters_every(stage.service, 1.0)  # its clock starts on a whole second
    stage.play(f"a send {ask(1).replace('units=1', 'units=400')}\nwait 1.1")
    lines = [
        orjson.loads(line) for line in capsys.readouterr().err.splitlines() if line.startswith("{")
    ]
    assert [int(line["at"]) for line in lines] == [1_000_001] and lines[0]["refusals"] == {
        "quota": 1
    }


def test_bad_commands_in_a_row_get_one_answer_each_and_no_more() -> None:
    """A client sends bad commands until its connection ends.

    Each gets one answer; one more would be taken for the answer to the client's next command.
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


def test_requests_wait_for_discoverys_first_list_before_they_are_sent() -> None:
    """The list of the configuration may be old, and an endpoint on it may drain by now.

    Requests wait for discovery's first answer.
    """
    stage = Stage(hosts=2, discovery_answered=False)
    stage.play(f"a send {ask(1)}\nwait 0.1")
    assert stage.service.stats.requests == 0 and stage.service.stats.attempts == 0
    stage.play(
        f"disco expect {GET}\ndisco send whole 2 s1:in_service s2:terminating\ns1 expect "
        f"{ask(1, 900)}"
    )
    assert stage.service.stats.requests == 1


def test_without_discovery_the_list_it_was_given_serves_after_a_while() -> None:
    """Discovery never answers.

    After READY_WITHOUT_DISCOVERY_AFTER_S the list of the configuration serves.
    """
    stage = Stage(hosts=1, discovery_answered=False)
    stage.play(f"a send {ask(1)}\nwait 0.2")
    assert stage.service.stats.attempts == 0
    stage.play(f"wait 0.3\ns1 expect {ask(1, 500)}")  # what it waited is not the host's to spend
