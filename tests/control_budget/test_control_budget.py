"""The control budget: what may be sent in any window, and messages that wait for budget."""

from __future__ import annotations

import itertools
import random
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.bench import documents
from hazelhollow.configuration.admission_verdict import (
    FETCH_TIMEOUT_S,
    MAX_FETCH_S,
    AdmissionRule,
)
from hazelhollow.configuration.distribution import codec as configuration_codec
from hazelhollow.configuration.distribution.fetch import (
    FIRST_PIECE_RETRY_S,
    MAX_PIECES_PER_BUDGETED_REQUEST,
    PIECE_RETRY_S,
    DocumentFetch,
)
from hazelhollow.configuration.distribution.source import DocumentSource
from hazelhollow.configuration.known_versions import KnownVersions
from hazelhollow.configuration.versions import Versions
from hazelhollow.control_budget.budget import (
    HEADER_BYTES,
    MAX_DATAGRAM_BYTES,
    BucketSettings,
    BudgetSettings,
    ControlBudget,
    RoleBudget,
    TrafficRole,
    settings_for,
)
from hazelhollow.control_budget.send_queue import SendQueue
from hazelhollow.operator import load
from hazelhollow.operator.attach import Attached
from hazelhollow.operator.errors import CueError
from hazelhollow.operator.settings import ControlSettings, OperatorSettings
from tests.net.scenario import SETTINGS

START = 1000.0


ROUNDING = 1e-3  # bytes


budgets = st.floats(3000.0, 20_000.0).map(settings_for)


roles = st.sampled_from(list(TrafficRole))


budget_requests = st.lists(
    st.tuples(
        st.floats(0.0, 2.0), roles, st.integers(1, MAX_DATAGRAM_BYTES), st.floats(0.0, 300.0)
    ),
    max_size=200,
)


@given(budgets, budget_requests)
def test_bytes_in_any_window_are_at_most_the_rate_and_the_burst(
    settings: BudgetSettings, requests_made: list[tuple[float, TrafficRole, int, float]]
) -> None:
    budget, now, datagrams = ControlBudget(settings, START), START, list[tuple[float, int]]()
    for pause, role, size, keep in requests_made:
        now += pause
        if budget.take(role, size, now, keep):
            datagrams.append((now, size))
    total = [0, *itertools.accumulate(size for _, size in datagrams)]
    for first, (begin, _) in enumerate(datagrams):
        for last in range(first, len(datagrams)):
            sent = total[last + 1] - total[first]
            assert sent <= settings.rate * (datagrams[last][0] - begin) + settings.burst + ROUNDING


@given(budgets, roles, st.integers(1, MAX_DATAGRAM_BYTES), st.integers(0, 2**32))
def test_role_always_gets_its_guaranteed_rate(
    settings: BudgetSettings, role: TrafficRole, size: int, seed: int
) -> None:
    """The other roles request all that they can get at every moment, and must not reduce it."""
    budget, rng = ControlBudget(settings, START), random.Random(seed)
    for datagram_number in range(1, 120):
        now = START + datagram_number * size / settings.roles[role].rate
        for other in rng.sample([one for one in TrafficRole if one is not role], 3):
            while budget.take(other, rng.randint(1, MAX_DATAGRAM_BYTES), now):
                pass
        assert budget.take(role, size, now)


@pytest.mark.parametrize("role", TrafficRole)
@pytest.mark.parametrize("bytes_per_s", [3000.0, 4000.0, 12_000.0])
def test_unused_rate_is_lent(role: TrafficRole, bytes_per_s: float) -> None:
    settings = settings_for(bytes_per_s)
    budget = ControlBudget(settings, START)
    for step in range(1, 4001):
        while budget.take(role, 100, START + step / 100):
            pass
    assert budget.usage[role].bytes >= 0.99 * settings.rate * 40.0


@pytest.mark.parametrize("keep", [0.0, 400.0, 864.0])
def test_bytes_kept_free_by_a_role_do_not_reduce_its_rate(keep: float) -> None:
    settings = settings_for(4000.0)
    budget = ControlBudget(settings, START)
    for step in range(1, 4001):
        while budget.take(TrafficRole.MEMBERSHIP, 100, START + step / 100, keep):
            pass
    assert budget.available(TrafficRole.MEMBERSHIP, START + 40.0) >= keep
    assert budget.usage[TrafficRole.MEMBERSHIP].bytes >= 0.99 * settings.rate * 40.0


def test_unused_rate_is_lent_to_the_role_of_higher_priority() -> None:
    settings = settings_for(4000.0)
    budget, greedy = (
        ControlBudget(settings, START),
        (TrafficRole.CONFIGURATION, TrafficRole.REPLICATION),
    )
    for step in range(1, 4001):
        for role in greedy:  # the role of lower priority requests first
            while budget.take(role, 100, START + step / 100):
                pass
    lower, higher = (budget.usage[role].bytes for role in greedy)
    lent = settings.rate - sum(settings.roles[role].rate for role in greedy)
    assert higher - settings.roles[TrafficRole.REPLICATION].rate * 40.0 >= 0.95 * lent * 40.0
    assert lower >= 0.99 * settings.roles[TrafficRole.CONFIGURATION].rate * 40.0


@given(budgets, st.floats(0.0, 1e9), st.booleans())
def test_clock_jump_adds_at_most_the_burst(
    settings: BudgetSettings, jump: float, back: bool
) -> None:
    """The wall clock is set back or ahead. Setting it back adds nothing, a jump ahead at most the
    burst.
    """
    budget, sent = ControlBudget(settings, START), 0
    for role in TrafficRole:
        while budget.take(role, 50, START):
            pass
    now = START - jump if back else START + jump
    for role in TrafficRole:
        while budget.take(role, 50, now):
            sent += 50
    remainders = 50 * len(TrafficRole)
    assert (
        sent <= (0.0 if back else min(settings.burst, settings.rate * jump + remainders)) + ROUNDING
    )


@pytest.mark.parametrize("role", TrafficRole)
def test_idle_hour_adds_at_most_the_burst(role: TrafficRole) -> None:
    settings = settings_for(4000.0)
    budget = ControlBudget(settings, START)
    sent = sum(100 for _ in range(1000) if budget.take(role, 100, START + 3600.0))
    assert sent <= settings.burst


@given(
    budgets,
    st.lists(st.tuples(st.floats(0.0, 1.0), st.integers(1, MAX_DATAGRAM_BYTES)), max_size=100),
)
def test_unrequested_bytes_are_debited_from_the_pool(
    settings: BudgetSettings, gossip: list[tuple[float, int]]
) -> None:
    """Gossip, which requests no budget, exceeds its guaranteed rate. That must not reduce what the
    other roles are guaranteed.
    """
    budget, now = ControlBudget(settings, START), START
    for pause, size in gossip:
        now += pause
        budget.debit(TrafficRole.QUOTA, size, now)
        own = settings.roles[TrafficRole.MEMBERSHIP].burst
        assert budget.available(TrafficRole.MEMBERSHIP, now) >= own
    assert budget.usage[TrafficRole.QUOTA].bytes == sum(size for _, size in gossip)
    assert budget.available(TrafficRole.QUOTA, now + 100.0) <= settings.burst


def test_pool_lends_nothing_until_its_debt_is_repaid() -> None:
    """Gossip has overdrawn the pool. Until that is repaid, the other roles have only their own
    buckets.
    """
    settings = settings_for(4000.0)
    budget = ControlBudget(settings, START)
    for _ in range(20):
        budget.debit(TrafficRole.QUOTA, MAX_DATAGRAM_BYTES, START)
    own = settings.roles[TrafficRole.MEMBERSHIP].burst
    assert budget.available(TrafficRole.MEMBERSHIP, START) == own
    assert budget.available(TrafficRole.MEMBERSHIP, START + 0.5) == own
    assert budget.available(TrafficRole.MEMBERSHIP, START + 10.0) > own


def test_usage_is_counted_by_role() -> None:
    budget = ControlBudget(settings_for(3000.0), START)
    role_budget = RoleBudget(budget, TrafficRole.MEMBERSHIP)
    while role_budget.take(100, START):
        pass
    role_budget.drop()
    counts = budget.document()["roles"]
    assert counts["view"]["bytes"] == counts["view"]["sent"] * (100 + HEADER_BYTES) > 0
    assert (counts["view"]["deferred"], counts["view"]["dropped"], counts["quota"]["sent"]) == (
        1,
        1,
        0,
    )


@pytest.mark.parametrize("bytes_per_s", [0.0, 2999.0, float("-inf")])
def test_rate_below_the_minimum_is_rejected(bytes_per_s: float) -> None:
    """The error for settings with too few bytes a second says so."""
    with pytest.raises(ValueError, match="less than"):
        settings_for(bytes_per_s)


def test_excess_guarantees_and_buckets_below_a_datagram_are_rejected() -> None:
    """Settings are inconsistent, and the error names the inconsistency."""
    with pytest.raises(ValueError, match="guaranteed more"):
        BudgetSettings(
            100.0, {TrafficRole.MEMBERSHIP: BucketSettings(101.0, MAX_DATAGRAM_BYTES)}, 0.0
        )
    with pytest.raises(ValueError, match="less than a datagram"):
        BudgetSettings(
            100.0, {TrafficRole.MEMBERSHIP: BucketSettings(100.0, MAX_DATAGRAM_BYTES - 1)}, 0.0
        )


def test_configured_rate_is_kept_over_ten_seconds() -> None:
    settings = settings_for(4000.0)
    assert settings.rate * 10.0 + settings.burst <= 4000.0 * 10.0


def test_waiting_messages_are_sent_by_rank_within_the_budget_or_expire() -> None:
    """The budget is exhausted. Messages wait, those of the lowest rank are sent first, and old ones
    are dropped.
    """
    allowance = RoleBudget(ControlBudget(settings_for(3000.0), START), TrafficRole.CONFIGURATION)
    queue = SendQueue[str](allowance, max_waiting=3, max_wait_s=2.0)
    while allowance.take(1, START):
        pass
    for rank, payload in ((2, "piece"), (1, "ask"), (3, "digest"), (1, "another ask")):
        queue.add(rank, 200, payload, START)
    assert queue.pop_sendable(START) == [] and len(queue) == 3 and queue.contains("piece")
    assert not queue.contains("digest")  # dropped, since its rank is the highest
    assert queue.pop_sendable(START + 1.5)[:2] == ["ask", "another ask"]
    queue.add(1, 10**6, "too long", START + 1.5)
    assert queue.pop_sendable(START + 4.0) == [] and len(queue) == 0
    assert allowance.budget.usage[TrafficRole.CONFIGURATION].dropped >= 2


def test_document_is_assembled_from_members_that_have_pieces_of_it() -> None:
    """A document arrives in pieces from several members. Each is asked for a few at a time, and no
    piece is requested again before a retry is due.
    """
    document = {"classes": [{"name": f"c{n}", "weight": n * 7919 % 1009} for n in range(400)]}
    source = DocumentSource(3, document)
    rng, total = random.Random(1), len(source.all_pieces())
    fetches = [DocumentFetch(3, source.digest) for _ in range(2)]
    received: list[dict[str, Any] | None] = [None, None]
    by_peer = 0
    for round_number in range(4 * total):
        for number, fetch in enumerate(fetches):
            text = (
                fetch.next_budgeted_request(rng, START + round_number, False)
                if received[number] is None
                else None
            )
            request = configuration_codec.decode(text) if text else None
            if not isinstance(request, configuration_codec.PieceRequest):
                continue
            assert len(request.pieces) <= MAX_PIECES_PER_BUDGETED_REQUEST
            provider = source if round_number % 2 else fetches[1 - number]
            by_peer += len(provider.answer(request)) * (provider is not source)
            for line in provider.answer(request):
                piece = configuration_codec.decode(line)
                assert isinstance(piece, configuration_codec.Piece)
                received[number] = fetch.put(piece) or received[number]
    assert received == [document, document] and total > 8 and by_peer > 0


def test_document_reaches_all_members_at_the_guaranteed_rate() -> None:
    """The other roles use all that they can get, so that only the guaranteed rate remains."""
    pieces, settings = 30, settings_for(4000.0)
    transfer_s = pieces * MAX_DATAGRAM_BYTES / settings.roles[TrafficRole.CONFIGURATION].rate
    assert (
        documents.seconds_to_all(documents.Distribution(2, 1, pieces), 4000.0, True, 1)
        <= 2 * transfer_s
    )
    assert (
        documents.seconds_to_all(documents.Distribution(6, 1, pieces), 4000.0, True, 1)
        <= 6 * transfer_s
    )


def test_requested_piece_is_requested_again_only_after_the_retry_time() -> None:
    """No piece has arrived yet. The first one is retried sooner, since nothing is known of the
    others without it.
    """
    fetch, rng = DocumentFetch(3, "abc"), random.Random(1)
    assert fetch.next_budgeted_request(rng, START, False) == "d1q 3 0"
    assert fetch.next_budgeted_request(rng, START + 0.9 * FIRST_PIECE_RETRY_S, False) is None
    assert fetch.next_budgeted_request(rng, START + FIRST_PIECE_RETRY_S, False) == "d1q 3 0"
    fetch.put(configuration_codec.Piece(3, "abc", 0, 2, "AAAA"))
    now = START + FIRST_PIECE_RETRY_S
    assert fetch.next_budgeted_request(rng, now, False) == "d1q 3 1"
    assert fetch.next_budgeted_request(rng, now + 0.9 * PIECE_RETRY_S, False) is None
    assert fetch.next_budgeted_request(rng, now + PIECE_RETRY_S, False) == "d1q 3 1"


def test_short_document_held_by_one_member_reaches_all_soon() -> None:
    """Half of the requests go to the member that has it, rather than one in as many as there are
    others.
    """
    for members in (6, 20, 50):
        assert (
            documents.seconds_to_all(documents.Distribution(members, 1, 1), 4000.0, False, 1) <= 2.0
        )


def test_member_receiving_pieces_is_not_shut_out_until_the_fetch_limit() -> None:
    """A member with old settings slowly receives pieces of newer ones. It is shut out only after
    the maximum fetch time.
    """
    known = {
        n: Versions("i", "p", 1 if n else 0, "new" if n else "old", 1, "d", "h") for n in range(4)
    }
    rule = AdmissionRule(0)
    for second in range(int(MAX_FETCH_S) + 20):
        rule.piece_arrived(1, START + second)
        state = rule.evaluate(KnownVersions(known), START + second).state
        assert state == ("asking" if second < MAX_FETCH_S + FETCH_TIMEOUT_S else "shut out")


def test_control_block_in_the_operator_file_enables_the_budget(
    tmp_path: Path,
) -> None:
    def read(text: str) -> OperatorSettings:
        return load.read(b"package operator\n" + text.encode(), "x.cue")

    without, with_control = read("fleet: {}"), read("fleet: control: {}")
    assert without.fleet and without.fleet.control is None
    assert with_control.fleet and with_control.fleet.control == ControlSettings(bytes_per_s=4000.0)
    plain = replace(SETTINGS, peers=True)
    assert Attached("x.cue", without).settings(plain) is plain and plain.gossip_bytes_per_s == 0.0
    assert Attached("x.cue", with_control).settings(plain).gossip_bytes_per_s == 1600.0
    with pytest.raises(CueError, match="control.bytes_per_s"):
        read("fleet: control: bytes_per_s: 2999")


def test_run_on_the_platform_does_not_import_the_control_budget() -> None:
    code = (
        "import sys, hazelhollow.net.service; print(*[m for m in sys.modules if '.control' in m])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == ""
