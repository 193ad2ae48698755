"""Requests as clients write them, for tests on real processes."""

from __future__ import annotations

import secrets

from hazelhollow.soak.wire import encode

CUSTOMER = b"00000000b4d65521"
VERBS = {"look": b"Q.ASK", "buy": b"Q.DO", "pay": b"Q.DO"}


def new_id() -> bytes:
    return secrets.token_hex(8).encode()


def fields(class_name: str, wait_ms: int, key: bytes = b"5c0f6e1a2b3d4c59") -> bytes:
    keyed = b"k=" + key + b"," if class_name == "buy" else b""
    return b"c=%b,t=gold,d=%d,%bunits=1,spread=1,first=0" % (class_name.encode(), wait_ms, keyed)


def request(
    class_name: str, request_id: bytes, wait_ms: int = 2000, body: bytes = b"BODY"
) -> bytes:
    verb = VERBS[class_name]
    words = [verb, CUSTOMER, request_id, fields(class_name, wait_ms)]
    return encode(*words, *([body] if verb == b"Q.DO" else []))
