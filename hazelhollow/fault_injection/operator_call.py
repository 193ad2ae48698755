"""A single call to a limiter's operator address."""

from __future__ import annotations

from hazelhollow.fault_injection.addresses import Address
from hazelhollow.net import stream
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.scheduler import TIMED_OUT, Scheduler

MAX_OUT_BYTES = 4096


def call(scheduler: Scheduler, address: Address, line: str, timeout: float = 1.0) -> bytes:
    """Sends one line and returns the answer; empty if there is none within `timeout` seconds."""
    driver = stream.connect(scheduler, address, MAX_OUT_BYTES, timeout)
    if isinstance(driver, CloseReason):
        return b""
    driver.write(line.encode() + b"\n")
    until, answer = scheduler.clock() + timeout, b""
    while driver.wait(until) != TIMED_OUT:
        data = driver.read(stream.READ_CHUNK_BYTES)
        if isinstance(data, CloseReason):
            break
        answer += data or b""
    driver.close(CloseReason.CLOSED)
    return answer
