"""The store's two scripts: their source, arguments as text, and answers as typed values. No I/O.

`lease.lua` grants, renews and returns leases of one customer. `presence.lua` handles a limiter's
heartbeat and returns which limiters are present. The scripts document their arguments.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from hazelhollow.net import resp
from hazelhollow.shared_store.lease_pool import LeasePool, SpendingStep
from hazelhollow.shared_store.leased_account import LeasedAccount, ScriptName

NAMES: tuple[ScriptName, ...] = ("lease", "presence")
SCRIPTS = {name: (Path(__file__).parent / f"{name}.lua").read_bytes() for name in NAMES}
SHAS = {name: hashlib.sha1(text).hexdigest() for name, text in SCRIPTS.items()}

MAX_NUMBER = 1e18  # an answer with a greater number does not come from the scripts
MAX_KEY_LENGTH = 200  # characters of a customer's key
LEASE_HEAD_PARTS = 3  # status, total and wait, at the start of an answer
PARTS_PER_LIMIT = 3  # confirmed, granted and level, for each limit after the head


@dataclass(frozen=True)
class Grant:
    """The store's answer for one limit, in units.

    `confirmed`: units reported as leased that the store still records so; `granted`: units newly
    leased; `level`: units left in the pool.
    """

    confirmed: float
    granted: float
    level: float


@dataclass(frozen=True)
class LeaseAnswer:
    """The answer of `lease.lua`.

    `status` is `ok`, `late` (the call ran after its deadline) or `stale` (a newer call ran before
    it); unless it is `ok` there are no grants. `wait`: seconds until another call may get units.
    """

    status: str
    highest_total: float
    wait: float
    grants: list[Grant]


@dataclass(frozen=True)
class PresenceAnswer:
    """The answer of `presence.lua`: the store's clock in seconds, and the limiters present.

    `present` is None if the call ran after its deadline or after a newer heartbeat.
    """

    store_now: float
    present: frozenset[int] | None


def milliseconds(seconds: float) -> str:
    """Formats a time or duration for the scripts, in integral milliseconds."""
    return f"{seconds * 1000:.0f}"


def customer_key(prefix: str, customer: str) -> str:
    """Returns the store's key of a customer; its hash tag keeps it on one shard."""
    plain = "".join(c if c.isalnum() or c in "-_./" else f"%{ord(c):x}" for c in customer)
    return f"{prefix}:{{{plain[:MAX_KEY_LENGTH]}}}"


def presence_key(prefix: str) -> str:
    """Returns the store's key of the record of limiters present."""
    return f"{prefix}:{{present}}"


@dataclass(frozen=True)
class LeaseCaller:
    """The first arguments of `lease.lua`: the calling limiter and the time of the call.

    `deadline` is text, in milliseconds of the store's clock. `present` is the number of limiters of
    the customer's set that are present.
    """

    slot: str  # the limiter's number and incarnation, and which of its accounts
    sequence: int
    now: float
    deadline: str
    store_started_at: float
    term: float
    present: int


def lease_arguments(
    caller: LeaseCaller,
    account: LeasedAccount,
    leased: Sequence[float],
    wanted: Sequence[float],
    refused: float,
) -> list[str]:
    """Returns the arguments of `lease.lua`.

    `leased` and `wanted`: units by pool. `refused`: units of a request that was just rejected.
    """
    args = [
        caller.slot,
        str(caller.sequence),
        milliseconds(caller.now),
        caller.deadline,
        milliseconds(caller.store_started_at),
        milliseconds(caller.term),
        str(caller.present),
        str(len(account.limiters)),
        f"{account.highest_total:.3f}",
        str(len(account.pools)),
    ]
    for pool, units_leased, units_wanted in zip(account.pools, leased, wanted, strict=True):
        args += _limit_arguments(pool, units_leased, units_wanted, refused, caller.now)
    return args


def _limit_arguments(
    pool: LeasePool, leased: float, wanted: float, refused: float, now: float
) -> list[str]:
    needed = min(max(refused - max(pool.base.level, 0.0) - leased, 0.0), wanted)
    spending = ",".join(_spending_text(step, now) for step in pool.recent_spending)
    amounts = (pool.burst, pool.spent_from_leases, leased, wanted, needed)
    return [f"{pool.rate / 1000:.9f}", *[f"{amount:.6f}" for amount in amounts], spending]


def _spending_text(step: SpendingStep, now: float) -> str:
    return f"{(now - step.until) * 1000:.0f}:{step.units:.6f}"


def decode_lease(answer: Sequence[str]) -> LeaseAnswer:
    """Decodes an answer of `lease.lua` that `answer_text` has checked.

    Raises:
        ValueError: The answer does not have the form that `answer_text` checks.
    """
    status = answer[0]
    numbers = [float(part) for part in answer[LEASE_HEAD_PARTS:]] if status == "ok" else []
    grants = [
        Grant(*numbers[at : at + PARTS_PER_LIMIT]) for at in range(0, len(numbers), PARTS_PER_LIMIT)
    ]
    return LeaseAnswer(status, float(answer[1]), float(answer[2]) / 1000, grants)


def decode_presence(answer: Sequence[str]) -> PresenceAnswer:
    """Decodes an answer of `presence.lua` that `answer_text` has checked.

    Raises:
        ValueError: The answer does not have the form that `answer_text` checks.
    """
    store_now = float(answer[0]) / 1000
    if answer[1] == "late":
        return PresenceAnswer(store_now, None)
    return PresenceAnswer(store_now, frozenset(map(int, answer[1].split())))


def text_of(value: resp.Value) -> str:
    """Returns a RESP value as text."""
    return value.decode("utf-8", "replace") if isinstance(value, bytes) else str(value)


def answer_text(kind: ScriptName, value: resp.Value) -> list[str] | None:
    """Returns a script's answer as text; None if it does not have the form of one."""
    if (
        not isinstance(value, list)
        or not value
        or not all(isinstance(part, bytes) for part in value)
    ):
        return None
    answer = [text_of(part) for part in value]
    if kind == "presence":
        return answer if _is_presence_answer(answer) else None
    return answer if _is_lease_answer(answer) else None


def _is_presence_answer(answer: list[str]) -> bool:
    if len(answer) != 2 or not _are_numbers(answer[:1]):
        return False
    return answer[1] == "late" or answer[1].replace(" ", "").isdigit()


def _is_lease_answer(answer: list[str]) -> bool:
    if len(answer) < LEASE_HEAD_PARTS or not _are_numbers(answer[1:]):
        return False
    limits = (len(answer) - LEASE_HEAD_PARTS) / PARTS_PER_LIMIT
    return answer[0] != "ok" or (limits >= 1 and limits.is_integer())


def _are_numbers(parts: list[str]) -> bool:
    try:
        return all(abs(float(part)) < MAX_NUMBER for part in parts)
    except ValueError:
        return False
