"""The budget of control traffic.

What may leave in any window, what each role is sure of; and the view within its part.
"""

from __future__ import annotations

import itertools
import random
import subprocess
import sys
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.bench import documents, zones
from hazelhollow.bench.fleet import Sim
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
from hazelhollow.membership import codec
from hazelhollow.membership.codec import Message, MessageKind
from hazelhollow.membership.death_confirmation import DeathConfirmations
from hazelhollow.membership.dissemination import DisseminationQueue
from hazelhollow.membership.member_table import MemberTable
from hazelhollow.membership.membership import Membership
from hazelhollow.membership.records import MemberState, Record
from hazelhollow.membership.settings import MembershipSettings
from hazelhollow.membership.suspicion import SuspicionTable
from hazelhollow.membership.timing import (
    CONFIRMATION_ATTEMPTS,
    MASS_FAILURE_SAMPLE,
    PROBE_INTERVAL_S,
    SUSPICION_TIMEOUT_S,
)
from hazelhollow.operator import load
from hazelhollow.operator.attach import Attached
from hazelhollow.operator.errors import CueError
from hazelhollow.operator.settings import ControlSettings, OperatorSettings
from tests.net.scenario import SETTINGS

START = 1000.0
ROUNDING = 1e-3  # bytes

budgets = st.floats(3000.0, 20_000.0).map(settings_for)
roles = st.sampled_from(list(TrafficRole))
asks = st.lists(
    st.tuples(
        st.floats(0.0, 2.0), roles, st.integers(1, MAX_DATAGRAM_BYTES), st.floats(0.0, 300.0)
    ),
    max_size=200,
)


# What may leave


@given(budgets, asks)
def test_in_any_window_at_most_the_rate_and_the_burst_leave(
    settings: BudgetSettings, asked: list[tuple[float, TrafficRole, int, float]]
) -> None:
    budget, now, left = ControlBudget(settings, START), START, list[tuple[float, int]]()
    for pause, role, size, keep in asked:
        now += pause
        if budget.take(role, size, now, keep):
            left.append((now, size))
    total = [0, *itertools.accumulate(size for _, size in left)]
    for first, (began, _) in enumerate(left):
        for last in range(first, len(left)):
            sent = total[last + 1] - total[first]
            assert sent <= settings.rate * (left[last][0] - began) + settings.burst + ROUNDING


@given(budgets, roles, st.integers(1, MAX_DATAGRAM_BYTES), st.integers(0, 2**32))
def test_a_role_that_asks_for_its_guaranteed_rate_always_gets_it(
    settings: BudgetSettings, role: TrafficRole, size: int, seed: int
) -> None:
    """The others ask for all that they can get, at every moment."""
    budget, chance = ControlBudget(settings, START), random.Random(seed)
    for turn in range(1, 120):
        now = START + turn * size / settings.roles[role].rate
        for other in chance.sample([one for one in TrafficRole if one is not role], 3):
            while budget.take(other, chance.randint(1, MAX_DATAGRAM_BYTES), now):
                pass
        assert budget.take(role, size, now)


@pytest.mark.parametrize("role", TrafficRole)
@pytest.mark.parametrize("bytes_per_s", [3000.0, 4000.0, 12_000.0])
def test_what_nobody_uses_is_lent(role: TrafficRole, bytes_per_s: float) -> None:
    settings = settings_for(bytes_per_s)
    budget = ControlBudget(settings, START)
    for step in range(1, 4001):
        while budget.take(role, 100, START + step / 100):
            pass
    assert budget.usage[role].bytes >= 0.99 * settings.rate * 40.0


@pytest.mark.parametrize("keep", [0.0, 400.0, 864.0])
def test_what_a_role_keeps_free_costs_it_no_rate(keep: float) -> None:
    settings = settings_for(4000.0)
    budget = ControlBudget(settings, START)
    for step in range(1, 4001):
        while budget.take(TrafficRole.MEMBERSHIP, 100, START + step / 100, keep):
            pass
    assert budget.available(TrafficRole.MEMBERSHIP, START + 40.0) >= keep
    assert budget.usage[TrafficRole.MEMBERSHIP].bytes >= 0.99 * settings.rate * 40.0


def test_unused_rate_goes_to_the_role_of_higher_priority() -> None:
    settings = settings_for(4000.0)
    budget, greedy = (
        ControlBudget(settings, START),
        (TrafficRole.CONFIGURATION, TrafficRole.REPLICATION),
    )
    for step in range(1, 4001):
        for role in greedy:  # the one of lower priority asks first
            while budget.take(role, 100, START + step / 100):
                pass
    lower, higher = (budget.usage[role].bytes for role in greedy)
    lent = settings.rate - sum(settings.roles[role].rate for role in greedy)
    assert higher - settings.roles[TrafficRole.REPLICATION].rate * 40.0 >= 0.95 * lent * 40.0
    assert lower >= 0.99 * settings.roles[TrafficRole.CONFIGURATION].rate * 40.0


@given(budgets, st.floats(0.0, 1e9), st.booleans())
def test_a_clock_that_jumps_gives_no_more_than_the_burst(
    settings: BudgetSettings, jump: float, back: bool
) -> None:
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
def test_an_idle_hour_gives_no_more_than_the_burst(role: TrafficRole) -> None:
    settings = settings_for(4000.0)
    budget = ControlBudget(settings, START)
    sent = sum(100 for _ in range(1000) if budget.take(role, 100, START + 3600.0))
    assert sent <= settings.burst


@given(
    budgets,
    st.lists(st.tuples(st.floats(0.0, 1.0), st.integers(1, MAX_DATAGRAM_BYTES)), max_size=100),
)
def test_what_leaves_without_asking_is_taken_from_what_is_lent(
    settings: BudgetSettings, gossip: list[tuple[float, int]]
) -> None:
    """And never from what another role is guaranteed."""
    budget, now = ControlBudget(settings, START), START
    for pause, size in gossip:
        now += pause
        budget.debit(TrafficRole.QUOTA, size, now)
        own = settings.roles[TrafficRole.MEMBERSHIP].burst
        assert budget.available(TrafficRole.MEMBERSHIP, now) >= own
    assert budget.usage[TrafficRole.QUOTA].bytes == sum(size for _, size in gossip)
    assert budget.available(TrafficRole.QUOTA, now + 100.0) <= settings.burst


def test_a_debt_is_paid_before_anything_is_lent() -> None:
    settings = settings_for(4000.0)
    budget = ControlBudget(settings, START)
    for _ in range(20):
        budget.debit(TrafficRole.QUOTA, MAX_DATAGRAM_BYTES, START)
    own = settings.roles[TrafficRole.MEMBERSHIP].burst
    assert budget.available(TrafficRole.MEMBERSHIP, START) == own
    assert budget.available(TrafficRole.MEMBERSHIP, START + 0.5) == own
    assert budget.available(TrafficRole.MEMBERSHIP, START + 10.0) > own


def test_what_was_asked_for_is_counted_by_role() -> None:
    budget = ControlBudget(settings_for(3000.0), START)
    part = RoleBudget(budget, TrafficRole.MEMBERSHIP)
    while part.take(100, START):
        pass
    part.drop()
    counts = budget.document()["roles"]
    assert counts["view"]["bytes"] == counts["view"]["sent"] * (100 + HEADER_BYTES) > 0
    assert (counts["view"]["deferred"], counts["view"]["dropped"], counts["quota"]["sent"]) == (
        1,
        1,
        0,
    )


@pytest.mark.parametrize("bytes_per_s", [0.0, 2999.0, float("-inf")])
def test_a_budget_that_holds_no_datagram_is_refused(bytes_per_s: float) -> None:
    with pytest.raises(ValueError, match="less than"):
        settings_for(bytes_per_s)


def test_guarantees_beyond_the_rate_and_buckets_below_a_datagram_are_refused() -> None:
    with pytest.raises(ValueError, match="guaranteed more"):
        BudgetSettings(
            100.0, {TrafficRole.MEMBERSHIP: BucketSettings(101.0, MAX_DATAGRAM_BYTES)}, 0.0
        )
    with pytest.raises(ValueError, match="less than a datagram"):
        BudgetSettings(
            100.0, {TrafficRole.MEMBERSHIP: BucketSettings(100.0, MAX_DATAGRAM_BYTES - 1)}, 0.0
        )


def test_over_ten_seconds_the_figure_of_the_settings_holds() -> None:
    settings = settings_for(4000.0)
    assert settings.rate * 10.0 + settings.burst <= 4000.0 * 10.0


def member_of(members: int, allowance: RoleBudget | None = None) -> Membership:
    return Membership(MembershipSettings(0, members, 1), START, allowance)


# Suspicions and confirmations


def suspect(number: int) -> Record:
    return Record(number, 5, 1, MemberState.SUSPECT)


def test_a_suspect_that_was_not_asked_is_not_held_dead_until_several_were_asked_in_vain() -> None:
    suspicions = SuspicionTable()
    for number in range(MASS_FAILURE_SAMPLE + 2):
        suspicions.add(suspect(number), START, 1.0)
    for number in range(MASS_FAILURE_SAMPLE - 1):
        suspicions.pinged(number)
    assert {r.number for r in suspicions.take_expired(START + 1.0)} == set(
        range(MASS_FAILURE_SAMPLE - 1)
    )
    assert suspicions.take_expired(START + 100.0) == []
    suspicions.pinged(MASS_FAILURE_SAMPLE - 1)
    assert {r.number for r in suspicions.take_expired(START + 100.0)} == {
        MASS_FAILURE_SAMPLE - 1,
        MASS_FAILURE_SAMPLE,
        MASS_FAILURE_SAMPLE + 1,
    }


def test_one_that_refutes_ends_the_belief_in_the_death_of_those_not_asked() -> None:
    suspicions = SuspicionTable()
    for number in range(MASS_FAILURE_SAMPLE + 2):
        suspicions.add(suspect(number), START, 1.0)
    for number in range(MASS_FAILURE_SAMPLE):
        suspicions.pinged(number)
    suspicions.withdraw(MASS_FAILURE_SAMPLE + 1, refuted=True)
    assert len(suspicions.take_expired(START + 0.5)) == 0
    suspicions.add(suspect(MASS_FAILURE_SAMPLE + 2), START + 100.0, 1.0)
    assert (
        len(suspicions.take_expired(START + 1.0)) == MASS_FAILURE_SAMPLE + 1
        and suspicions.is_mass_failure()
    )
    suspicions.add(suspect(MASS_FAILURE_SAMPLE + 3), START, 1.0)
    suspicions.withdraw(MASS_FAILURE_SAMPLE + 3, refuted=True)
    assert not suspicions.is_mass_failure() and suspicions.take_expired(START + 200.0) == []


def test_one_held_dead_that_speaks_gives_all_their_time_anew_where_many_were_silent() -> None:
    suspicions = SuspicionTable()
    for number in range(MASS_FAILURE_SAMPLE + 3):
        suspicions.add(suspect(number), START, 1.0)
    for number in range(MASS_FAILURE_SAMPLE):
        suspicions.pinged(number)
    assert len(suspicions.take_expired(START + 1.0)) == MASS_FAILURE_SAMPLE + 3
    for number in (20, 21):
        suspicions.add(suspect(number), START, 1.0)
    for number in range(MASS_FAILURE_SAMPLE):
        suspicions.add(suspect(number), START, 0.1)
        suspicions.pinged(number)
    assert (
        len(suspicions.take_expired(START + 0.5)) == MASS_FAILURE_SAMPLE
        and suspicions.is_mass_failure()
    )
    suspicions.heard_from(3, START + 0.9, 1.0)  # one of the dead
    assert not suspicions.is_mass_failure() and suspicions.take_expired(START + 1.0) == []
    for number in (20, 21):
        suspicions.pinged(number)
    assert (
        suspicions.take_expired(START + 1.8) == []
        and len(suspicions.take_expired(START + 1.9)) == 2
    )


def test_one_suspect_that_speaks_has_its_own_time_anew_and_is_asked_again() -> None:
    suspicions = SuspicionTable()
    for number in (1, 2):
        suspicions.add(suspect(number), START, 1.0)
        suspicions.pinged(number)
    suspicions.heard_from(1, START + 0.5, 1.0)
    assert [r.number for r in suspicions.take_expired(START + 1.0)] == [2]
    assert suspicions.take_expired(START + 1.5) == []  # it was not asked since
    suspicions.pinged(1)
    assert [r.number for r in suspicions.take_expired(START + 1.5)] == [1]


@pytest.mark.parametrize(
    ("state", "same_life"),
    [(MemberState.SUSPECT, True), (MemberState.DEAD, True), (MemberState.DEAD, False)],
)
def test_only_the_life_that_is_held_dead_ends_the_silence_of_many(
    state: MemberState, same_life: bool
) -> None:
    one = member_of(40)
    for number in range(1, 30):
        one.table.put(Record(number, 36**8, 1, MemberState.ALIVE))
    for number in range(1, MASS_FAILURE_SAMPLE + 2):
        one._state.apply(Record(number, 36**8, 1, MemberState.SUSPECT))
        one._state.suspicions.pinged(number)
    one._state.now = START + SUSPICION_TIMEOUT_S
    one._state.apply(Record(20, 36**8, 1, state))
    one._state.apply(Record(21, 36**8, 1, MemberState.SUSPECT))
    one._period._expire()
    assert one._state.suspicions.is_mass_failure()
    sender = Record(20, 36**8 + (0 if same_life else 1), 1, MemberState.ALIVE)
    one.receive(
        20,
        codec.encode(Message(MessageKind.PING, sender, 1, 7, (9,)), ())[0],
        one._state.now + 0.1,
    )
    assert one._state.suspicions.is_mass_failure() is not same_life


def test_suspects_are_asked_in_turn_and_the_newest_first() -> None:
    suspicions, order = SuspicionTable(), list[int]()
    for number in range(4):
        suspicions.add(suspect(number), START + number, 1.0)
    for _ in range(6):
        (number,) = suspicions.next_to_ping(1)
        suspicions.pinged(number)
        order.append(number)
    assert order == [3, 2, 1, 0, 3, 2]


def test_a_death_that_others_tell_is_asked_about_twice_before_it_is_believed() -> None:
    confirmations, now = DeathConfirmations(random.Random(1)), START
    confirmations.add(Record(1, 5, 1, MemberState.DEAD), now)
    for _ in range(CONFIRMATION_ATTEMPTS):
        assert confirmations.take_confirmed(now, 0.5) == [] and confirmations.next_to_ping(
            2, 8
        ) == [1]
        confirmations.pinged(1, now + 0.5)
        now += 0.5
    assert [r.number for r in confirmations.take_confirmed(now, 0.5)] == [1]


def test_more_deaths_than_can_be_asked_about_wait_unless_several_were_asked_in_vain() -> None:
    confirmations, now = DeathConfirmations(random.Random(1)), START
    for number in range(20):
        confirmations.add(Record(number, 5, 1, MemberState.DEAD), now)
    assert confirmations.take_confirmed(now + 100.0, 0.5) == []
    for _ in range(CONFIRMATION_ATTEMPTS):
        for number in confirmations.next_to_ping(20, 8):
            confirmations.pinged(number, now + 0.5)
        now += 0.5
        confirmations.take_confirmed(now, 0.5)
    confirmations.take_confirmed(now, 0.5)
    assert len(confirmations) == 0
    for number in range(20):
        confirmations.add(Record(number, 5, 1, MemberState.DEAD), now)
    confirmations.refute(3)
    assert confirmations.take_confirmed(now + 100.0, 0.5) == []


# What waits


def test_what_waits_leaves_by_rank_within_the_budget_and_is_void_after_a_while() -> None:
    allowance = RoleBudget(ControlBudget(settings_for(3000.0), START), TrafficRole.CONFIGURATION)
    waiting = SendQueue[str](allowance, max_waiting=3, max_wait_s=2.0)
    while allowance.take(1, START):
        pass
    for rank, payload in ((2, "piece"), (1, "ask"), (3, "digest"), (1, "another ask")):
        waiting.add(rank, 200, payload, START)
    assert waiting.take_sendable(START) == [] and len(waiting) == 3 and waiting.contains("piece")
    assert not waiting.contains("digest")  # the least useful made room
    assert waiting.take_sendable(START + 1.5)[:2] == ["ask", "another ask"]
    waiting.add(1, 10**6, "too long", START + 1.5)
    assert waiting.take_sendable(START + 4.0) == [] and len(waiting) == 0
    assert allowance.budget.usage[TrafficRole.CONFIGURATION].dropped >= 2


def test_a_document_comes_whole_from_members_that_have_parts_of_it() -> None:
    """Each is asked for a few pieces, none of them twice within a while."""
    document = {"classes": [{"name": f"c{n}", "weight": n * 7919 % 1009} for n in range(400)]}
    whole = DocumentSource(3, document)
    chance, total = random.Random(1), len(whole.all_pieces())
    takers = [DocumentFetch(3, whole.digest) for _ in range(2)]
    got: list[dict[str, Any] | None] = [None, None]
    by_peer = 0
    for turn in range(4 * total):
        for number, taker in enumerate(takers):
            text = (
                taker.next_budgeted_request(chance, START + turn, False)
                if got[number] is None
                else None
            )
            asked = configuration_codec.decode(text) if text else None
            if not isinstance(asked, configuration_codec.PieceRequest):
                continue
            assert len(asked.pieces) <= MAX_PIECES_PER_BUDGETED_REQUEST
            giver = whole if turn % 2 else takers[1 - number]
            by_peer += len(giver.answer(asked)) * (giver is not whole)
            for line in giver.answer(asked):
                given_piece = configuration_codec.decode(line)
                assert isinstance(given_piece, configuration_codec.Piece)
                got[number] = taker.put(given_piece) or got[number]
    assert got == [document, document] and total > 8 and by_peer > 0


def test_a_document_reaches_all_at_the_guaranteed_rate_alone() -> None:
    pieces, settings = 30, settings_for(4000.0)
    alone = pieces * MAX_DATAGRAM_BYTES / settings.roles[TrafficRole.CONFIGURATION].rate
    assert documents.seconds_to_all(2, 1, pieces, 4000.0, True, 1) <= 2 * alone
    assert documents.seconds_to_all(6, 1, pieces, 4000.0, True, 1) <= 6 * alone


def test_a_piece_that_is_on_its_way_is_not_asked_for_again_at_once() -> None:
    """The first piece sooner: without it nothing is known of the others."""
    taker, chance = DocumentFetch(3, "abc"), random.Random(1)
    assert taker.next_budgeted_request(chance, START, False) == "d1q 3 0"
    assert taker.next_budgeted_request(chance, START + 0.9 * FIRST_PIECE_RETRY_S, False) is None
    assert taker.next_budgeted_request(chance, START + FIRST_PIECE_RETRY_S, False) == "d1q 3 0"
    taker.put(configuration_codec.Piece(3, "abc", 0, 2, "AAAA"))
    now = START + FIRST_PIECE_RETRY_S
    assert taker.next_budgeted_request(chance, now, False) == "d1q 3 1"
    assert taker.next_budgeted_request(chance, now + 0.9 * PIECE_RETRY_S, False) is None
    assert taker.next_budgeted_request(chance, now + PIECE_RETRY_S, False) == "d1q 3 1"


def test_a_short_document_that_few_have_is_at_all_soon() -> None:
    """Its holder is asked half of the times, not once in so many as there are others."""
    for members in (6, 20, 50):
        assert documents.seconds_to_all(members, 1, 1, 4000.0, False, 1) <= 2.0


def test_one_to_whom_pieces_come_asks_on_and_is_not_shut_out_meanwhile() -> None:
    known = {
        n: Versions("i", "p", 1 if n else 0, "new" if n else "old", 1, "d", "h") for n in range(4)
    }
    rule = AdmissionRule(0)
    for second in range(int(MAX_FETCH_S) + 20):
        rule.piece_arrived(1, START + second)
        state = rule.evaluate(KnownVersions(known), START + second).state
        assert state == ("asking" if second < MAX_FETCH_S + FETCH_TIMEOUT_S else "shut out")


# The operator file


def test_without_a_control_block_there_is_no_budget_and_with_one_there_is_all_of_it(
    tmp_path: Path,
) -> None:
    def read(text: str) -> OperatorSettings:
        return load.read(b"package operator\n" + text.encode(), "x.cue")

    none, some = read("fleet: {}"), read("fleet: control: {}")
    assert none.fleet and none.fleet.control is None
    assert some.fleet and some.fleet.control == ControlSettings(bytes_per_s=4000.0)
    plain = replace(SETTINGS, peers=True)
    assert Attached("x.cue", none).settings(plain) is plain and plain.gossip_bytes_per_s == 0.0
    assert Attached("x.cue", some).settings(plain).gossip_bytes_per_s == 1600.0
    with pytest.raises(CueError, match="control.bytes_per_s"):
        read("fleet: control: bytes_per_s: 2999")


def test_the_platforms_path_imports_nothing_of_it() -> None:
    code = (
        "import sys, hazelhollow.net.service; print(*[m for m in sys.modules if '.control' in m])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == ""


# Bitmaps


@given(st.integers(0, 40), st.sets(st.integers(0, codec.BITMAP_SPAN - 1)))
def test_a_bitmap_reads_as_it_was_and_fits(start: int, places: set[int]) -> None:
    sender, bits = (
        Record(3, 36**8, 2, MemberState.ALIVE, (), "", "7f0000011f0a"),
        sum(1 << place for place in places),
    )
    message = Message(MessageKind.PRESENCE_BITMAP, sender, 36**4 - 1, 36**5 - 1, (start, bits))
    text, _ = codec.encode(message, [])
    assert len(text) <= codec.MAX_TEXT_BYTES - 18  # with a seal
    assert codec.decode(text, 2000) == message


@pytest.mark.parametrize(
    "parts",
    ["0", "0:!", "0:A", "zz:AQ==", "0:////", "0:____", "-1:AQ==", "0:AQ==:", "9:Ag==", "0:A Q=="],
)
def test_what_cannot_be_is_no_bitmap(parts: str) -> None:
    assert codec.decode("v1b 3.1.1.1/1/1 8:AQ==", 10) is not None
    assert codec.decode("v1b 3.1.1.1/1/1 " + parts, 10) is None


def test_a_bitmap_shows_who_has_joined_and_is_not_suspected() -> None:
    table = MemberTable()
    for number, state in enumerate(
        (
            MemberState.JOINING,
            MemberState.ALIVE,
            MemberState.SUSPECT,
            MemberState.DEAD,
            MemberState.LEFT,
            MemberState.ALIVE,
        )
    ):
        table.put(Record(number, 5, 1, state))
    assert (
        table.joined_bitmap(0, 10) == 0b100010
        and table.joined_bitmap(5, 10) == 1
        and table.joined_bitmap(2, 3) == 0
    )


# The view within its part


def part(bytes_per_s: float, now: float = START) -> RoleBudget:
    return RoleBudget(ControlBudget(settings_for(bytes_per_s), now), TrafficRole.MEMBERSHIP)


def test_a_view_sends_no_more_than_it_may_whatever_comes() -> None:
    """Answers too: they are the last to go, and they are counted when they do."""
    allowance = part(3000.0)
    one = member_of(40, allowance)
    sent = Counter[float]()
    peers = [Record(number, 36**8, 1, MemberState.ALIVE) for number in range(1, 40)]
    for step in range(400):
        now = START + step / 10
        outs = one.tick(now) if step % 5 == 0 else []
        for peer in peers:
            message = Message(MessageKind.PING, peer, step + 1, step, (1,))
            outs = outs + one.receive(peer.number, codec.encode(message, ())[0], now)
        sent[now] += sum(len(send.text) + HEADER_BYTES for send in outs)
    settings = settings_for(3000.0)
    for first, began in enumerate(sent):
        for last in list(sent)[first:]:
            within = sum(size for at, size in sent.items() if began <= at <= last)
            assert within <= settings.rate * (last - began) + settings.burst + ROUNDING
    assert allowance.budget.usage[TrafficRole.MEMBERSHIP].dropped > 0


def test_answers_go_out_when_tables_and_news_find_no_room() -> None:
    allowance = part(3000.0)
    one = member_of(40, allowance)
    peer = Record(1, 36**8, 1, MemberState.ALIVE)
    while allowance.take(1, START, 0.25):
        pass
    sums = codec.encode(Message(MessageKind.BUCKET_DIGESTS, peer, 1, 7, tuple(range(32))), ())[0]
    ping = codec.encode(Message(MessageKind.PING, peer, 2, 7, (9,)), ())[0]
    assert one.receive(1, sums, START) == []
    (answer,) = one.receive(1, ping, START)
    assert answer.text.startswith("v1a") and one.counts["held back"] > 0


def test_a_probe_whose_helpers_could_not_be_asked_shows_nothing() -> None:
    allowance = part(3000.0)
    one = member_of(4, allowance)
    for send in one.tick(START):
        ping = codec.decode(send.text, 4)
        assert ping
        answer = Message(
            MessageKind.ACK,
            Record(send.recipient, 36**8, 1, MemberState.ALIVE),
            1,
            7,
            ping.arguments,
        )
        one.receive(send.recipient, codec.encode(answer, ())[0], START)
    for turn in range(1, 12):
        now = START + turn * PROBE_INTERVAL_S
        one.tick(now)
        now += one.indirect_probe_after_s
        while allowance.take(1, now):  # others use all that there is
            pass
        one.request_indirect_probes(now)
    assert one.may_admit and one.counts["suspected"] == 0


@pytest.mark.parametrize("contended", [False, True])
def test_a_fleet_within_its_budget_settles_and_holds_nobody_falsely_dead(contended: bool) -> None:
    found = zones.play(24, 1, 0.0, zones.allowances(4000.0, contended), lambda text: None)
    phases = {name: phase for name, phase in found.items() if isinstance(phase, dict)}
    settings, rate = settings_for(4000.0), settings_for(4000.0).rate
    if contended:
        rate = settings.roles[TrafficRole.MEMBERSHIP].rate
    for name, phase in phases.items():
        assert phase["settled_s"] is not None, name
        assert phase["worst_second"] <= rate + settings.burst, name
        assert phase["worst_ten_seconds"] <= rate + settings.burst / 10.0, name
    assert found["false_deaths"] == 0


def test_after_a_heal_nobody_is_held_dead_for_want_of_a_turn_to_be_asked() -> None:
    """With more members on each side than are asked at once."""
    sim = zones.CountingSim(48, 3, 0.0, lambda now: None)
    sim.start_all()
    assert sim.settle() is not None
    cut = set(range(16))
    rest = set(range(16, 48))
    sim.cut = lambda a, b: (a in cut) != (b in cut)
    assert sim.settle(lambda: sim.agreed(cut) and sim.agreed(rest)) is not None
    sim.false_deaths.clear()
    sim.cut = lambda a, b: False
    assert sim.settle() is not None
    assert not sim.false_deaths


def test_all_members_learn_of_one_that_holds_an_older_record_by_what_it_gives() -> None:
    """All ask the one whose table differs.

    What it gives that is older is answered with what is newer.
    """
    sim = Sim(8, 1)
    sim.start_all()
    assert sim.settle() is not None
    one = sim.members[2].membership
    known = one.table.get(5)
    assert known is not None
    older = Message(
        MessageKind.RECORDS,
        Record(3, sim.members[3].membership.own.incarnation, 9, MemberState.ALIVE),
        10**6,
        7,
    )
    sends = one.receive(3, codec.encode(older, [known._replace(record_version=0)])[0], sim.now)
    message = codec.decode(sends[-1].text, 8)
    assert (
        message
        and sends[-1].recipient == 3
        and message.kind == MessageKind.RECORDS
        and known in message.records
    )


def test_refutations_are_passed_on_before_other_news() -> None:
    dissemination, table = DisseminationQueue(100), MemberTable()
    for record in (
        Record(1, 5, 1, MemberState.DEAD),
        Record(2, 5, 1, MemberState.ALIVE),
        Record(3, 5, 2, MemberState.ALIVE),
    ):
        table.put(record)
        dissemination.record_changed(record)
    assert [record.number for record in dissemination.next_records(table, 0)] == [3, 1, 2]
