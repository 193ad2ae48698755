"""The store's two scripts.

Their source, their arguments as text, and their answers as typed values. No I/O.
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

MOST_NUMBER = 1e18  # a larger number in an answer is not the scripts'
MOST_KEY = 200  # characters of a customer's key
LEASE_HEAD = 3  # an answer's status, total and wait; then PARTS_A_LIMIT parts for each limit
PARTS_A_LIMIT = 3


@dataclass(frozen=True)
class Grant:
    """The store's answer for one limit, in units.

    Still on lease of what was held, newly granted, left in the pool.
    """

    kept: float
    granted: float
    level: float


@dataclass(frozen=True)
class LeaseAnswer:
    """`status` is `ok`, `late` or `stale`; `wait` is in seconds.

    Without `ok` there are no grants.
    """

    status: str
    highest_total: float
    wait: float
    grants: list[Grant]


@dataclass(frozen=True)
class PresenceAnswer:
    """The store's clock in seconds, and the numbers of the limiters present.

    Nothing where the call came too late.
    """

    store_now: float
    present: frozenset[int] | None


def milliseconds(seconds: float) -> str:
    """A time or a span as the scripts take it: whole milliseconds."""
    return f"{seconds * 1000:.0f}"


def customer_key(prefix: str, customer: str) -> str:
    """The store's key of a customer, whose hash tag keeps it on one shard."""
    plain = "".join(c if c.isalnum() or c in "-_./" else f"%{ord(c):x}" for c in customer)
    return f"{prefix}:{{{plain[:MOST_KEY]}}}"


def presence_key(prefix: str) -> str:
    """The store's key of the record of who is present."""
    return f"{prefix}:{{present}}"


@dataclass(frozen=True)
class LeaseCaller:
    """Who calls and when: what the arguments of `lease.lua` begin with.

    `deadline` is of the store's clock, as text.
    """

    slot: str  # the limiter's number and incarnation
    sequence: int
    now: float
    deadline: str
    store_started_at: float
    term: float
    present: int  # limiters of the customer's set that are present


def lease_arguments(
    caller: LeaseCaller,
    account: LeasedAccount,
    held: Sequence[float],
    wanted: Sequence[float],
    refused: float,
) -> list[str]:
    """`lease.lua` names the arguments.

    `refused`: units of a request that could not be served, or 0.
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
    for pool, units_held, units_wanted in zip(account.pools, held, wanted, strict=True):
        args += _limit_arguments(pool, units_held, units_wanted, refused, caller.now)
    return args


def _limit_arguments(
    pool: LeasePool, held: float, wanted: float, refused: float, now: float
) -> list[str]:
    needed = min(max(refused - max(pool.base.level, 0.0) - held, 0.0), wanted)
    spending = ",".join(_spending_text(step, now) for step in pool.recent_spending)
    amounts = (pool.burst, pool.spent_from_leases, held, wanted, needed)
    return [f"{pool.rate / 1000:.9f}", *[f"{amount:.6f}" for amount in amounts], spending]


def _spending_text(step: SpendingStep, now: float) -> str:
    return f"{(now - step.until) * 1000:.0f}:{step.units:.6f}"


def decode_lease(answer: Sequence[str]) -> LeaseAnswer:
    """The answer of `lease.lua`.

    Raises `ValueError` where it is not one; `answer_text` has let no such through.
    """
    status = answer[0]
    numbers = [float(part) for part in answer[LEASE_HEAD:]] if status == "ok" else []
    grants = [
        Grant(*numbers[at : at + PARTS_A_LIMIT]) for at in range(0, len(numbers), PARTS_A_LIMIT)
    ]
    return LeaseAnswer(status, float(answer[1]), float(answer[2]) / 1000, grants)


def decode_presence(answer: Sequence[str]) -> PresenceAnswer:
    """The answer of `presence.lua`.

    Raises `ValueError` where it is not one; `answer_text` has let no such through.
    """
    store_now = float(answer[0]) / 1000
    if answer[1] == "late":
        return PresenceAnswer(store_now, None)
    return PresenceAnswer(store_now, frozenset(map(int, answer[1].split())))


def text_of(value: resp.Value) -> str:
    """A RESP value as text."""
    return value.decode("utf-8", "replace") if isinstance(value, bytes) else str(value)


def answer_text(kind: ScriptName, value: resp.Value) -> list[str] | None:
    """A script's answer as text; nothing where it does not have the form of one."""
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
    if len(answer) < LEASE_HEAD or not _are_numbers(answer[1:]):
        return False
    limits = (len(answer) - LEASE_HEAD) / PARTS_A_LIMIT
    return answer[0] != "ok" or (limits >= 1 and limits.is_integer())


def _are_numbers(parts: list[str]) -> bool:
    try:
        return all(abs(float(part)) < MOST_NUMBER for part in parts)
    except ValueError:
        return False
