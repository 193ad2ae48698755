"""The stand-in for Redis, tested with an independent client (redis-py) on real sockets."""

from __future__ import annotations

import random
import socket
import threading
import time
from collections.abc import Iterator
from typing import Any

import pytest
import redis
from click.testing import CliRunner
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from redis.backoff import NoBackoff
from redis.retry import Retry

from hazelhollow.cli import main
from hazelhollow.net.scheduler import Scheduler
from hazelhollow.standins.redis import faults, server, slots
from hazelhollow.standins.redis.node import Node


class RunningStandin:
    """Stand-in servers in a separate thread, with a clock that the test advances."""

    def __init__(self, shards: int = 1, **options: Any) -> None:
        self.clock_offset, self.up, self.servers = 0.0, threading.Event(), list[server.Server]()
        self.is_stopping = False
        self.thread = threading.Thread(target=self._run, args=(shards, options), daemon=True)
        self.thread.start()
        assert self.up.wait(10)
        self.port = self.servers[0].address[1]

    def _run(self, shards: int, options: dict[str, Any]) -> None:
        scheduler = Scheduler(lambda: time.time() + self.clock_offset)
        self.servers = server.start(
            scheduler, ("127.0.0.1", 0), server.ServerOptions(shards=shards, **options)
        )
        self.up.set()
        while not self.is_stopping:
            scheduler.turn(longest=0.005)
        for stand_in in self.servers:
            stand_in.close()

    def connection(self, **options: Any) -> Any:
        make: Any = redis.Connection
        return make(port=self.port, protocol=2, socket_timeout=5, **options)

    def client(self, **options: Any) -> Any:
        retry = Retry(NoBackoff(), 0)
        return redis.Redis(
            **{"port": self.port, "protocol": 2, "socket_timeout": 5, "retry": retry, **options}
        )


@pytest.fixture
def standin() -> Iterator[RunningStandin]:
    running = RunningStandin(seed=1)
    yield running
    running.is_stopping = True
    running.thread.join(5)


def send_line(connection: Any, line: str) -> Any:
    """Returns the reply to a command whose arguments contain no spaces, or the error's text."""
    connection.send_command(*line.split(), check_health=False)
    try:
        return connection.read_response()
    except (
        redis.ResponseError,
        redis.AuthenticationError,
        redis.exceptions.BusyLoadingError,
    ) as error:
        return f"{type(error).__name__}: {error}"


WRONG = "ResponseError: WRONGTYPE Operation against a key holding the wrong kind of value"
NOT_INT = "ResponseError: value is not an integer or out of range"
NOT_FLOAT = "ResponseError: value is not a valid float"
EXPECTED_REPLIES: list[tuple[str, Any]] = [
    ("PING", b"PONG"),
    ("PING hi", b"hi"),
    ("ECHO hi", b"hi"),
    ("SET s 5", b"OK"),
    ("GET s", b"5"),
    ("GET none", None),
    ("SET s 6 NX", None),
    ("SET n 1 NX", b"OK"),
    ("SET none 1 XX", None),
    ("SET s 7 XX GET", b"5"),
    ("SET s 8 NX XX", "ResponseError: syntax error"),
    ("SET s 7 PX 0", "ResponseError: invalid expire time in 'set' command"),
    ("SET s 7 PX x", NOT_INT),
    ("SET s 7 EX 1 PX 1", "ResponseError: syntax error"),
    ("MGET s none h", [b"7", None, None]),
    ("INCRBY s 5", 12),
    ("DECRBY s 2", 10),
    ("INCR c", 1),
    ("DECR c", 0),
    ("INCRBY s 1.5", NOT_INT),
    ("SET big 9223372036854775807", b"OK"),
    ("INCR big", "ResponseError: increment or decrement would overflow"),
    ("INCRBYFLOAT f 10.5", b"10.5"),
    ("INCRBYFLOAT f 0.1", b"10.6"),
    ("INCRBYFLOAT f 1.4", b"12"),
    ("INCRBYFLOAT f x", NOT_FLOAT),
    ("SET w 1x", b"OK"),
    ("INCR w", NOT_INT),
    ("INCRBYFLOAT f inf", "ResponseError: increment would produce NaN or Infinity"),
    ("HSET h a 1 b 2", 2),
    ("HSET h a 3", 0),
    ("HGET h a", b"3"),
    ("HGET h z", None),
    ("HMGET h a z b", [b"3", None, b"2"]),
    ("HGETALL h", [b"a", b"3", b"b", b"2"]),
    ("HSET h a", "ResponseError: wrong number of arguments for 'hset' command"),
    ("HINCRBY h a 4", 7),
    ("HINCRBYFLOAT h a 0.5", b"7.5"),
    ("HINCRBY h a 1", "ResponseError: hash value is not an integer"),
    ("HDEL h a z", 1),
    ("HLEN h", 1),
    ("HDEL h b", 1),
    ("EXISTS h s s", 2),
    ("GET z1", None),
    ("HGET s a", WRONG),
    ("HSET h x 1", 1),
    ("INCR h", WRONG),
    ("ZADD h 1 a", WRONG),
    ("ZADD z 1 a 2 b 3 c", 3),
    ("ZADD z 5 a", 0),
    ("ZADD z CH 6 a 2 b", 1),
    ("ZADD z NX 9 a 1 d", 1),
    ("ZADD z XX 9 q", 0),
    ("ZADD z GT 1 a", 0),
    ("ZADD z 1", "ResponseError: wrong number of arguments for 'zadd' command"),
    ("ZADD z 1 a 2", "ResponseError: syntax error"),
    ("ZCARD z", 4),
    ("ZRANGEBYSCORE z -inf +inf", [b"d", b"b", b"c", b"a"]),
    ("ZRANGEBYSCORE z (1 3 WITHSCORES", [b"b", b"2", b"c", b"3"]),
    ("ZRANGEBYSCORE z 0 9 LIMIT 1 2", [b"b", b"c"]),
    ("ZRANGEBYSCORE z x 9", "ResponseError: min or max is not a float"),
    ("ZREM z a q", 1),
    ("ZREMRANGEBYSCORE z 2 3", 2),
    ("ZREM z d", 1),
    ("ZCARD z", 0),
    ("EXPIRE s 10", 1),
    ("EXPIRE none 10", 0),
    ("TTL s", 10),
    ("PEXPIRE s 1500", 1),
    ("PTTL none", -2),
    ("PTTL c", -1),
    ("PERSIST s", 1),
    ("PTTL s", -1),
    ("PEXPIRE s 0", 1),
    ("EXISTS s", 0),
    ("TYPE h", b"hash"),
    ("TYPE s", b"none"),
    ("DBSIZE", 6),
    ("SELECT 1", b"OK"),
    ("DBSIZE", 0),
    ("SET other 1", b"OK"),
    ("SELECT 16", "ResponseError: DB index is out of range"),
    ("SELECT 0", b"OK"),
    ("GET other", None),
    ("SCAN 0 COUNT 2", [b"2", [b"big", b"c"]]),
    ("SCAN 2 COUNT 9 MATCH [fh]*", [b"0", [b"f", b"h"]]),
    ("SCAN x", "ResponseError: invalid cursor"),
    ("DEL h none f", 2),
    ("FOO a b", "ResponseError: unknown command 'FOO', with args beginning with: 'a' 'b'"),
    ("GET", "ResponseError: wrong number of arguments for 'get' command"),
    ("SET k v", b"OK"),
    ("MULTI", b"OK"),
    ("MULTI", "ResponseError: MULTI calls can not be nested"),
    ("DISCARD", b"OK"),
    ("EXEC", "ResponseError: EXEC without MULTI"),
    ("DISCARD", "ResponseError: DISCARD without MULTI"),
    ("MULTI", b"OK"),
    ("SET k 1", b"QUEUED"),
    ("INCR k", b"QUEUED"),
    ("HGET k a", b"QUEUED"),
    ("GET k", b"QUEUED"),
    ("WATCH k", "ResponseError: WATCH inside MULTI is not allowed"),
    ("DISCARD", b"OK"),
    ("MULTI", b"OK"),
    ("NOPE", "ResponseError: unknown command 'NOPE', with args beginning with:"),
    ("EXEC", "ExecAbortError: Transaction discarded because of previous errors."),
    ("MULTI", b"OK"),
    ("SET k 2", b"QUEUED"),
    ("EXEC", [b"OK"]),
    ("GET k", b"2"),
    ("WATCH k", b"OK"),
    ("SET k 3", b"OK"),
    ("MULTI", b"OK"),
    ("INCR k", b"QUEUED"),
    ("EXEC", None),
    ("GET k", b"3"),
    ("WATCH k", b"OK"),
    ("UNWATCH", b"OK"),
    ("SET k 4", b"OK"),
    ("MULTI", b"OK"),
    ("EVAL return(1) 0", b"QUEUED"),
    ("INCR k", b"QUEUED"),
    ("EXEC", [1, 5]),
    ("EVAL return{KEYS[1],ARGV[1],3.9,false,'x'} 1 a b", [b"a", b"b", 3, None, b"x"]),
    ("EVAL return{1,nil,2} 0", [1]),
    ("EVAL return{ok='FINE'} 0", b"FINE"),
    ("EVAL return{err='MYERR_no'} 0", "ResponseError: MYERR_no"),
    ("EVAL return(true) 0", 1),
    ("EVAL return(nil) 0", None),
    ("EVAL return(false) 0", None),
    ("EVAL return(-1.5) 0", -1),
    ("EVAL return(redis.call('GET','none')==false) 0", 1),
    ("EVAL return(redis.call('SET',KEYS[1],1.5)) 1 k", b"OK"),
    ("GET k", b"1.5"),
    (
        "EVAL return(redis.pcall('HGET','k','a').err) 0",
        b"WRONGTYPE Operation against a key holding the wrong kind of value",
    ),
    (
        "EVAL return(redis.call('ROLE')) 0",
        "ResponseError: This Redis command is not allowed from script",
    ),
    ("EVAL return(redis.sha1hex('')) 0", b"da39a3ee5e6b4b0d3255bfef95601890afd80709"),
    ("EVAL x 1", "ResponseError: Number of keys can't be greater than number of args"),
    ("EVAL x -1", "ResponseError: Number of keys can't be negative"),
    ("EVAL x y", NOT_INT),
    (
        "EVAL return( 0",
        (
            "ResponseError: Error compiling script (new function): user_script:1: unexpected "
            "symbol near '<eof>'"
        ),
    ),
    ("EVALSHA 00 0", "NoScriptError: No matching script. Please use EVAL."),
    ("SCRIPT LOAD return(7)", b"bc70ae583496ef68242126e5f723b4224435af02"),
    ("SCRIPT EXISTS bc70ae583496ef68242126e5f723b4224435af02 00", [1, 0]),
    ("EVALSHA BC70AE583496EF68242126E5F723B4224435AF02 0", 7),
    ("SCRIPT FLUSH", b"OK"),
    ("SCRIPT EXISTS bc70ae583496ef68242126e5f723b4224435af02", [0]),
    ("ROLE", [b"master", 0, []]),
    ("CLIENT SETNAME me", b"OK"),
    ("CLIENT GETNAME", b"me"),
    ("HELLO 3", "ResponseError: NOPROTO unsupported protocol version"),
    (
        "AUTH x",
        (
            "AuthenticationError: AUTH <password> called without any password configured for "
            "the default user. Are you sure your configuration is correct?"
        ),
    ),
    ("CLUSTER KEYSLOT 123456789", 12739),
    ("CLUSTER SLOTS", "ResponseError: This instance has cluster support disabled"),
    ("FLUSHALL", b"OK"),
    ("DBSIZE", 0),
    ("RESET", b"RESET"),
]


def test_commands_reply_as_in_the_reference(standin: RunningStandin) -> None:
    connection = standin.connection()
    for line, expected in EXPECTED_REPLIES:
        got = send_line(connection, line)
        if isinstance(expected, str) and isinstance(got, str):
            got = (
                got.split(" script: ")[0].replace("ResponseError: ERR ", "ResponseError: ").strip()
            )
        assert got == expected, line
    assert send_line(connection, "HELLO 2")[:6] == [
        b"server",
        b"redis",
        b"version",
        b"7.2.0",
        b"proto",
        2,
    ]
    assert len(send_line(connection, "TIME")) == 2


def test_client_library_pipelines_transactions_and_scripts_work(standin: RunningStandin) -> None:
    client = standin.client()
    with client.pipeline(transaction=True) as pipe:
        pipe.watch("k")
        pipe.multi()
        pipe.set("k", 1).incr("k").hset("h", mapping={"a": 1})
        assert pipe.execute() == [True, 2, 1]
    assert client.pipeline(transaction=False).get("k").hgetall("h").execute() == [
        b"2",
        {b"a": b"1"},
    ]
    script = client.register_script("return redis.call('INCRBY', KEYS[1], ARGV[1])")
    assert script(keys=["k"], args=[5]) == 7
    client.script_flush()
    assert script(keys=["k"], args=[5]) == 12  # the client reloads the script after NOSCRIPT
    assert client.info("server")["run_id"] and sorted(client.scan_iter()) == [b"h", b"k"]


def test_keys_expire_by_the_injected_clock(standin: RunningStandin) -> None:
    client = standin.client()
    client.set("a", 1, px=1500)
    client.hset("h", "x", 1)
    client.pexpire("h", 5000)
    standin.clock_offset += 1.4
    assert client.exists("a") and 0 < client.pttl("a") <= 100
    standin.clock_offset += 0.2
    assert not client.exists("a") and client.dbsize() == 1
    standin.clock_offset += 5
    assert client.dbsize() == 0


@pytest.mark.parametrize(
    "data, answer",
    [
        (b"PING\r\n", b"+PONG\r\n"),
        (b"SET a 'x y'\r\nGET a\r\n", b"+OK\r\n$3\r\nx y\r\n"),
        (b"\r\n\r\nPING\r\n", b"+PONG\r\n"),
        (b"SET a 'x\r\n", b"-ERR Protocol error: unbalanced quotes in request\r\n"),
        (b"*x\r\n", b"-ERR Protocol error: invalid multibulk length\r\n"),
        (b"*1\r\n+PING\r\n", b"-ERR Protocol error: expected '$', got '+'\r\n"),
        (b"*1\r\n$-5\r\n", b"-ERR Protocol error: invalid bulk length\r\n"),
        (b"*--5\r\n", b"-ERR Protocol error: invalid multibulk length\r\n"),
        (b"*1\r\n$--1\r\n", b"-ERR Protocol error: invalid bulk length\r\n"),
        (b"*1\r\n$0\r\n\r\n", b"-ERR unknown command '', with args beginning with: \r\n"),
        (b"*1\r\n$4\r\nPI", b""),
        (b"*2\r\n$4\r\nECHO\r\n$0\r\n\r\n", b"$0\r\n\r\n"),
    ],
)
@pytest.mark.parametrize("step", [1, 1000])
def test_inline_and_array_commands_parse_when_split_anywhere(
    data: bytes, answer: bytes, step: int
) -> None:
    node, got = Node(lambda: 0.0), b""
    session = node.connect()
    assert session
    for at in range(0, len(data), step):
        session.feed(data[at : at + step])
        got += b"".join(out.data for out in node.turn())
    assert got == answer and session.closed == answer.startswith(b"-ERR Protocol")


@hypothesis_settings(max_examples=200)
@given(st.binary(max_size=120))
def test_arbitrary_bytes_do_not_disturb_another_session(data: bytes) -> None:
    node = Node(lambda: 0.0)
    session = node.connect()
    assert session
    session.feed(data)
    node.turn()
    other = node.connect()
    assert other
    other.feed(b"PING\r\n")
    assert [out.data for out in node.turn() if out.session is other] == [b"+PONG\r\n"]


def test_script_without_bounds_or_with_forbidden_access_fails(standin: RunningStandin) -> None:
    """Scripts that never end, use too much memory or access other globals than their own fail with
    an error, and the server continues to serve.
    """
    client = standin.client()
    for text in (
        "while true do end",
        "while true do pcall(function() while true do end end) end",
        "return string.rep('x', 1e9)",
        "return loadstring('return os')()",
        "x = 1",
        "return _G.debug",
    ):
        with pytest.raises(redis.ResponseError):
            client.eval(text, 0)
    assert client.ping()


def test_client_without_the_password_is_refused() -> None:
    running = RunningStandin(password="secret")
    try:
        with socket.create_connection(("127.0.0.1", running.port)) as plain:
            for line, expected_text in [
                ("PING", b"-NOAUTH"),
                ("AUTH wrong", b"-WRONGPASS"),
                ("HELLO 2", b"-NOAUTH HELLO"),
                ("AUTH secret", b"+OK"),
                ("PING", b"+PONG"),
            ]:
                plain.sendall(line.encode() + b"\r\n")
                assert plain.recv(1000).startswith(expected_text)
        assert running.client(password="secret").ping()
        with pytest.raises(redis.AuthenticationError):
            running.client(password="no").ping()
    finally:
        running.is_stopping = True


def test_cluster_distributes_slots_and_redirects_clients() -> None:
    assert slots.crc16(b"123456789") == 0x31C3  # the specification's own example
    assert (
        slots.slot_of(b"a{user}b") == slots.slot_of(b"user")
        and slots.slot_of(b"{}a") == slots.crc16(b"{}a") % 16384
    )
    running = RunningStandin(shards=3)
    try:
        cluster: Any = redis.RedisCluster(host="127.0.0.1", port=running.port, protocol=2)
        for n in range(50):
            cluster.set(f"key{n}", n)
        assert [int(cluster.get(f"key{n}")) for n in range(50)] == list(range(50))
        assert all(each.node.state.engine.databases[0].entries for each in running.servers)
        connection = running.connection()
        foreign_key = next(
            f"k{n}" for n in range(100) if slots.slot_of(b"k%d" % n) in slots.slot_ranges(3)[2]
        )
        port = running.servers[2].address[1]
        assert f"{slots.slot_of(foreign_key.encode())} 127.0.0.1:{port}" in send_line(
            connection, f"GET {foreign_key}"
        )
        assert "CROSSSLOT" in send_line(
            connection, "MGET a b"
        ) or "hash to the same slot" in send_line(connection, "MGET a b")
        assert "same slot" in send_line(connection, "EVAL return(1) 2 a b")
        assert len(send_line(connection, "CLUSTER SHARDS")) == 3
    finally:
        running.is_stopping = True


# Faults


def inject_fault(standin: RunningStandin, *arguments: object) -> None:
    assert standin.client().execute_command("STANDIN", "FAULT", *arguments)


def test_error_fault_makes_commands_fail_until_it_is_cleared(standin: RunningStandin) -> None:
    """Each kind of error fault makes commands fail with its error, also within a script, until the
    faults are cleared.
    """
    connection, client = standin.connection(), standin.client()
    assert client.ping()
    for kind, expected_text, line in [
        ("loading", "BusyLoadingError", "PING"),
        ("readonly", "ReadOnlyError", "SET a 1"),
        ("oom", "OutOfMemoryError", "SET a 1"),
        ("busy", "BUSY", "PING"),
        ("oom", "OutOfMemoryError", "EVAL return(redis.call('SET','a',1)) 0"),
    ]:
        assert expected_text not in str(send_line(connection, line))
        inject_fault(standin, kind)
        assert expected_text in send_line(connection, line), kind
        client.execute_command("STANDIN", "CLEAR")
    assert send_line(connection, "DEL a") == 1


def test_connection_fault_ends_it_before_or_after_the_command(standin: RunningStandin) -> None:
    """A fault ends the connection without a reply or with a broken one; only with `cut_before` the
    command does not run. With `lost` it runs, the connection stays open, and the client times out.
    """
    client = standin.client()
    assert client.ping()
    for kind, total in [
        ("cut_before", b"0"),
        ("cut_after", b"1"),
        ("half", b"2"),
        ("garbage", b"3"),
    ]:
        victim = standin.client()
        assert victim.ping()  # connects first: the fault would also affect the handshake
        inject_fault(standin, kind, "share", "1", "lasts", "1h")
        with pytest.raises(
            (
                redis.ConnectionError,
                redis.InvalidResponse,
                ValueError,
                IndexError,
                redis.ResponseError,
            )
        ):
            victim.incr("n")
        client.execute_command("STANDIN", "CLEAR")
        assert (client.get("n") or b"0") == total, kind  # whether the command ran
    victim = standin.client(socket_timeout=0.2)
    assert victim.ping()
    inject_fault(standin, "lost")
    with pytest.raises(redis.TimeoutError):
        victim.incr("n")
    client.execute_command("STANDIN", "CLEAR")
    assert client.get("n") == b"4"


def test_restart_loses_all_data_or_the_latest_changes(standin: RunningStandin) -> None:
    """After `restart_old` the server has the data of an earlier snapshot and a new run id. After
    `restart_empty` it has no data, and accepts no connections until the restart is over.
    """
    node, client = standin.servers[0].node, standin.client()
    node.state.snapshots.enabled = True
    client.set("a", 1)
    standin.clock_offset += 2
    client.ping()
    standin.clock_offset += 10
    client.set("a", 2)
    run = client.info("server")["run_id"]
    open_connection = standin.connection()
    send_line(open_connection, "PING")
    inject_fault(standin, "restart_old", "age", "5s", "lasts", "0ms")
    with pytest.raises(redis.ConnectionError):
        send_line(open_connection, "PING")
    assert client.get("a") == b"1" and client.info("server")["run_id"] != run
    inject_fault(standin, "restart_empty", "lasts", "1s")
    with pytest.raises(redis.ConnectionError):
        standin.client().ping()  # no connection is accepted during the restart
    standin.clock_offset += 2
    assert standin.client().get("a") is None


def test_clock_jump_moves_time_and_script_flush_unloads_scripts(standin: RunningStandin) -> None:
    client = standin.client()
    before = client.time()[0]
    sha = client.script_load("return 1")
    inject_fault(standin, "clock_jump", "by", "-1h")
    inject_fault(standin, "flush_scripts")
    assert client.time()[0] < before - 3000
    with pytest.raises(redis.exceptions.NoScriptError):
        client.evalsha(sha, 0)


def test_slow_command_delays_all_and_late_replies_keep_their_order() -> None:
    """A slow command delays the commands of other connections. Late replies are delayed one by one,
    but are sent in the order of their commands.
    """
    now = [100.0]
    plan = [
        faults.Fault(kind="slow", delay=0.5, spread="constant", lasts=1.0),
        faults.Fault(kind="late", at=10.0, delay=1.0),
    ]
    node = Node(lambda: now[0], 1, "", plan)
    first, second = node.connect(), node.connect()
    assert first and second
    first.feed(b"INCR a\r\n")
    second.feed(b"INCR a\r\n")
    assert node.turn() == [] and node.next_at() == 100.5
    now[0] = 100.5
    assert [(o.session is first, o.data) for o in node.turn()] == [(True, b":1\r\n")]
    now[0] = 101.0
    assert [o.data for o in node.turn()] == [b":2\r\n"]
    now[0] = 110.0
    for _ in range(5):
        first.feed(b"INCR b\r\n")
    got = list[bytes]()
    node.turn()
    while (due := node.next_at()) is not None:
        now[0] = due
        got += [out.data for out in node.turn()]
    assert got == [b":%d\r\n" % n for n in range(1, 6)]


def test_same_seed_gives_the_same_faults() -> None:
    def run(seed: int) -> list[bytes]:
        plan = [
            faults.Fault(kind=kind, share=0.3) for kind in ("half", "garbage", "loading", "late")
        ]
        now, got = [0.0], list[bytes]()
        node = Node(lambda: now[0], seed, "", plan)
        for _ in range(30):
            session = node.connect()
            assert session
            session.feed(b"TIME\r\n")
            now[0] += 1.0
            got += [out.data for out in node.turn()]
        return got

    assert run(5) == run(5) != run(6)


def test_fault_plan_is_parsed_and_invalid_options_are_refused() -> None:
    plan = faults.read_plan(
        (
            b'faults: [{kind: "slow", share: 0.1, delay: "20ms"}, {kind: "clock_jump", by: '
            b'"-2s", at: "1m"}]'
        ),
        "f",
    )
    assert plan[0] == faults.Fault(kind="slow", share=0.1, delay=0.02) and (
        plan[1].by,
        plan[1].at,
    ) == (
        -2.0,
        60.0,
    )
    run = CliRunner().invoke(main, ["standin", "redis", "--faults", "/none/of/this"])
    assert run.exit_code == 2 and "No such file" in run.output
    run = CliRunner().invoke(main, ["standin", "redis", "--listen", "0.0.0.0:0"])
    assert run.exit_code == 2 and "not a loopback address" in run.output


def test_port_in_use_is_reported_with_exit_status_2() -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        run = CliRunner().invoke(
            main, ["standin", "redis", "--listen", f"127.0.0.1:{taken.getsockname()[1]}"]
        )
    assert run.exit_code == 2 and "cannot listen" in run.output


@given(st.integers(0, 2**32), st.integers(1, 60))
def test_interleaved_transactions_and_scripts_stay_atomic(seed: int, steps: int) -> None:
    """Two clients move units between two keys, with scripts and with WATCH transactions. The sum
    must stay the same, and no key may become negative.
    """
    draw, node = random.Random(seed), Node(lambda: 0.0)
    move = (
        "if tonumber(redis.call('GET',KEYS[1]))>0 then redis.call('DECR',KEYS[1]) return "
        "redis.call('INCR',KEYS[2]) end"
    )
    sessions = [s for s in (node.connect(), node.connect()) if s]

    def send(n: int, *arguments: str) -> bytes:
        sessions[n].feed(
            b"*%d\r\n" % len(arguments)
            + b"".join(
                b"$%d\r\n%b\r\n" % (len(argument), argument.encode()) for argument in arguments
            )
        )
        return b"".join(out.data for out in node.turn())

    send(0, "SET", "{k}a", "5")
    send(0, "SET", "{k}b", "5")
    watching = [False, False]
    for _ in range(steps):
        n, keys = draw.randrange(2), draw.sample(["{k}a", "{k}b"], 2)
        if watching[n]:
            watching[n] = False
            for arguments in (["MULTI"], ["DECR", keys[0]], ["INCR", keys[1]]):
                send(n, *arguments)
            send(n, "EXEC")
        elif draw.random() < 0.5:
            send(n, "EVAL", move, "2", *keys)
        else:
            send(n, "WATCH", *keys)
            watching[n] = (
                int(send(n, "GET", keys[0]).split()[1]) > 0
                and int(send(n, "GET", keys[1]).split()[1]) > 0
            )
    values = [int(send(0, "GET", key).split()[1]) for key in ("{k}a", "{k}b")]
    assert sum(values) == 10 and min(values) >= 0
