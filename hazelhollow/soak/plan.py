"""What one soak run does, drawn from a seed. No I/O and no clock.

A seed switches a random part of the kinds on. The limits are the platform's: values up to 4 MiB,
bodies up to 64 KiB, pauses of a process up to 0.15 s, SIGKILL no earlier than the longest deadline
plus 0.7 s after SIGTERM.
"""

from __future__ import annotations

import random

import msgspec

CLIENT_KINDS = ("pipeline", "pieces", "leave", "slow reader", "large body", "resend", "unsound")
SERVER_KINDS = ("long", "pieces", "reset", "hang", "error", "busy", "unsound", "drain")
# Drawn apart from the others, whose plans stay the same for each seed.
LATER_CLIENT_KINDS = ("bytes behind", "other id", "no reader")
LATER_SERVER_KINDS = ("heads", "drips", "stops")
PIPELINING_KINDS = ("orders behind", "much and gone")
SLOW_KINDS = ("client: slow answers", "client: large orders", "server: slow reads")
ANSWER_KINDS = ("pieces", "reset", "hang", "error", "busy", "unsound", *LATER_SERVER_KINDS)
OPERATION_KINDS = ("reload", "broken file", "restart", "upgrade", "pause", "crowd", "silence")
FIRST_KINDS = tuple(
    f"{group}: {kind}"
    for group, kinds in (
        ("client", CLIENT_KINDS),
        ("server", SERVER_KINDS),
        ("operation", OPERATION_KINDS),
    )
    for kind in kinds
)
LATER_KINDS = tuple(f"client: {kind}" for kind in LATER_CLIENT_KINDS) + tuple(
    f"server: {kind}" for kind in LATER_SERVER_KINDS
)
LATER_KINDS += tuple(f"client: {kind}" for kind in PIPELINING_KINDS)  # last: draws are in order
LATER_KINDS += SLOW_KINDS
ALL_KINDS = FIRST_KINDS + LATER_KINDS
LATER_KIND_SHARE = 0.3  # of the seeds, for each
BASE_CLIENTS = 6
CLIENTS_WITHOUT_READER = 200
LIMITER_MEMORY_MB = 128
CROWD_CLIENTS = 120
LATER_SEED_OFFSET = 1 << 32  # apart from the seeds of the clients' draws
FAULT_SHARE = 0.12  # of the requests, for each kind of faulty answer that is on
FIRST_OPERATION_S, OPERATION_INTERVAL_S = 1.0, 1.6
QUIET_END_S = 2.0  # at the end, without a new operation


class Operation(msgspec.Struct, frozen=True):
    """Something that operators or the machine do to a limiter, seconds after the start."""

    at: float
    what: str
    limiter: int


class SoakPlan(msgspec.Struct, frozen=True):
    """One run.

    Attributes:
        seed: The seed of all draws, also those while the run is played.
        seconds: The duration of the load.
        limiters: Number of limiters.
        endpoints: Number of endpoints.
        clients: Number of clients that send requests.
        kinds: The kinds that are on, of ALL_KINDS.
        operations: In the order of their times.
    """

    seed: int
    seconds: float
    limiters: int
    endpoints: int
    clients: int
    kinds: tuple[str, ...]
    operations: tuple[Operation, ...]

    def has(self, kind: str) -> bool:
        """Whether a kind is on."""
        return kind in self.kinds


def draw_plan(
    seed: int, seconds: float = 8.0, limiters: int = 1, kinds: tuple[str, ...] = ()
) -> SoakPlan:
    """Draws a plan; the same arguments give the same plan. `kinds`: those to use; empty: drawn."""
    draw = random.Random(seed)
    count = draw.randint(3, 9)
    chosen = kinds or (*sorted(draw.sample(FIRST_KINDS, count)), *_draw_later_kinds(seed))
    operations = [kind.partition(": ")[2] for kind in chosen if kind.startswith("operation")]
    timed = [kind for kind in operations if kind != "crowd"]
    events, at = list[Operation](), FIRST_OPERATION_S + draw.random()
    while timed and at < seconds - QUIET_END_S:
        events.append(Operation(round(at, 3), draw.choice(timed), draw.randrange(limiters)))
        at += OPERATION_INTERVAL_S * (0.25 + draw.random())
    return SoakPlan(
        seed=seed,
        seconds=seconds,
        limiters=limiters,
        endpoints=draw.randint(3, 8),
        clients=BASE_CLIENTS + draw.randint(0, 10),
        kinds=chosen,
        operations=tuple(events),
    )


def _draw_later_kinds(seed: int) -> tuple[str, ...]:
    draw = random.Random(seed + LATER_SEED_OFFSET)
    return tuple(kind for kind in LATER_KINDS if draw.random() < LATER_KIND_SHARE)
