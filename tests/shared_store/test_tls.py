"""Tests of the driver with the stand-in on sockets: TLS, passwords, changed files, outages."""

from __future__ import annotations

import ssl
from pathlib import Path

import pytest
import trustme

from hazelhollow.decisions import interface as api
from hazelhollow.net import tls
from hazelhollow.net.scheduler import Scheduler
from hazelhollow.operator import load
from hazelhollow.operator.settings import StoreSettings
from hazelhollow.shared_store.client import StoreClient
from hazelhollow.shared_store.driver import SharedStoreDriver
from hazelhollow.shared_store.lease_ledger import LeaseLedger
from hazelhollow.standins.redis.faults import Fault
from hazelhollow.standins.redis.node import Node
from hazelhollow.standins.redis.server import Server
from tests.net.scenario import BUY, LOOK, START

PLAN = api.Plan("gold", 20.0, 40.0, ceiling_rate=40.0, ceiling_burst=80.0)


def certificate(authority: trustme.CA, folder: Path, name: str = "127.0.0.1") -> str:
    path = folder / f"{name}.pem"
    authority.issue_cert(name).private_key_and_cert_chain_pem.write_to_path(str(path))
    return str(path)


class Pair:
    """A driver and a stand-in store in one event loop, with a clock that the test sets."""

    def __init__(self, text: str, secure: ssl.SSLContext | None = None, password: str = "") -> None:
        self.now = START
        self.scheduler = Scheduler(lambda: self.now)
        self.server = Server(
            self.scheduler, Node(lambda: self.now, 1, password), ("127.0.0.1", 0), secure
        )
        self.server.start()
        settings = api.Settings(0, 2, (LOOK, BUY), (PLAN,))
        self.text = text
        self.ledger = LeaseLedger(settings, self.store_settings(), "l", self.now)
        self.client = StoreClient(self.ledger, self.store_settings(), 1)
        self.driver = SharedStoreDriver(self.scheduler, self.client)
        self.driver.start()

    def store_settings(self) -> StoreSettings:
        address = "{}:{}".format(*self.server.address)
        store = load.read(f'store: {{address: "{address}", {self.text}}}'.encode(), "t").store
        assert store
        return store

    def settle(self, seconds: float = 0.0) -> None:
        end = self.now + seconds
        while True:
            for _ in range(15):
                self.scheduler.turn(longest=0.0)
            if self.now >= end:
                return
            self.now += 0.02


def test_limiter_connects_to_its_store_over_tls(tmp_path: Path) -> None:
    authority = trustme.CA()
    authority.cert_pem.write_to_path(str(tmp_path / "ca"))
    pair = Pair(
        f'tls: ca_file: "{tmp_path}/ca"', tls.server_context(certificate(authority, tmp_path))
    )
    pair.settle(0.3)
    assert pair.ledger.presence.connected and pair.ledger.presence.view == {0}


@pytest.mark.parametrize("fault", ["another authority", "another name", "no TLS there", "no file"])
def test_store_that_fails_tls_verification_gets_no_calls(tmp_path: Path, fault: str) -> None:
    """The certificate has another authority or name, the store has no TLS, or the authority's file
    is missing: no password may be sent to such a store.
    """
    authority, other = trustme.CA(), trustme.CA()
    (other if fault == "another authority" else authority).cert_pem.write_to_path(
        str(tmp_path / "ca")
    )
    cert = certificate(authority, tmp_path, "10.0.0.9" if fault == "another name" else "127.0.0.1")
    secure = None if fault == "no TLS there" else tls.server_context(cert)
    if fault == "no file":
        (tmp_path / "ca").unlink()
    pair = Pair(f'tls: ca_file: "{tmp_path}/ca"', secure, password="secret")
    pair.settle(0.5)
    assert (
        not pair.ledger.presence.connected and pair.server.node.state.calls.get("EVALSHA", 0) == 0
    )
    (authority.cert_pem if fault == "another authority" else other.cert_pem).write_to_path(
        str(tmp_path / "ca")
    )
    pair.settle(0.5)  # the store still requires a password


def test_tls_and_password_files_are_read_again_on_reconnect(tmp_path: Path) -> None:
    """The authority's file and the password file are wrong at first and are then corrected."""
    authority, other = trustme.CA(), trustme.CA()
    other.cert_pem.write_to_path(str(tmp_path / "ca"))
    (tmp_path / "password").write_text("wrong\n")
    text = f'password_file: "{tmp_path}/password", tls: ca_file: "{tmp_path}/ca"'
    pair = Pair(text, tls.server_context(certificate(authority, tmp_path)), password="right")
    pair.settle(0.5)
    authority.cert_pem.write_to_path(str(tmp_path / "ca"))
    pair.settle(3.0)
    assert not pair.ledger.presence.connected and "AUTH" in pair.server.node.state.calls
    (tmp_path / "password").write_text("right\nnot this line\n")
    pair.driver.change(pair.store_settings())
    pair.settle(3.0)
    assert pair.ledger.presence.connected


def test_driver_reconnects_after_the_store_restarts() -> None:
    """The store restarts empty and is unreachable for a second."""
    pair = Pair("")
    pair.settle(0.2)
    assert pair.ledger.presence.connected
    pair.server.node.state.faults.add(Fault("restart_empty", lasts=1.0), pair.now)
    pair.server.advance()
    pair.settle(0.3)
    assert not pair.ledger.presence.connected and pair.client.counts["broken"] == 1
    pair.settle(4.0)
    assert pair.ledger.presence.connected and pair.ledger.presence.view == {0}


def test_silent_store_fails_calls_and_then_the_connection() -> None:
    """The store accepts all bytes and answers nothing for two seconds."""
    pair = Pair("")
    pair.settle(0.2)
    pair.server.node.state.faults.add(Fault("lost", lasts=2.0), pair.now)
    pair.settle(1.0)
    assert pair.client.counts["failed"] >= 1 and pair.client.counts["broken"] >= 1
    pair.settle(5.0)
    assert pair.ledger.presence.connected


def test_tls_layer_carries_bytes_both_ways_in_small_chunks(tmp_path: Path) -> None:
    authority = trustme.CA()
    authority.cert_pem.write_to_path(str(tmp_path / "ca"))
    client = tls.Layer(tls.client_context(str(tmp_path / "ca")), "127.0.0.1")
    server = tls.Layer(tls.server_context(certificate(authority, tmp_path)))
    to_server, to_client, request, answer = client.begin() + client.write(b"early"), b"", b"", b""
    for _ in range(2000):
        chunk, to_server = to_server[:97], to_server[97:]
        plain, output = server.feed(chunk) if chunk else (b"", b"")
        request, to_client = request + plain, to_client + output
        chunk, to_client = to_client[:97], to_client[97:]
        plain, output = client.feed(chunk) if chunk else (b"", b"")
        answer, to_server = answer + plain, to_server + output
        if request == b"early" and not answer and not to_client:
            to_client += server.write(b"late" * 10)
        if len(answer) == 40:
            break
    assert request == b"early" and answer == b"late" * 10
