"""The decision module, one danger a test."""

from __future__ import annotations

import itertools
import random
from collections.abc import Sequence
from typing import Any, TypeVar
from zlib import crc32

import pytest
from hypothesis import given, seed
from hypothesis import settings as hyp
from hypothesis import strategies as st

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.gossip.codec import MAX_DATAGRAM_BYTES, base36, incarnation_name
from hazelhollow.decisions.retry import NEVER_RAN

LOOKUP = api.RequestClass(
    "lookup", latency_objective=1.0, deadline=4.0, priority_weight=1.0, effect="safe"
)
ISSUE = api.RequestClass(
    "issue", latency_objective=2.0, deadline=6.0, priority_weight=1.0, effect="unsafe"
)
HOLD = api.RequestClass(
    "hold",
    latency_objective=1.0,
    deadline=4.0,
    priority_weight=1.0,
    effect="keyed",
    dedup_scope="zone",
    dedup_window=2.0,
)
BASIC = api.Plan("basic", rate=4.0, burst=12.0, excess_cost=1.0)
HARD = api.Plan("hard", rate=4.0, burst=12.0, excess_cost=1.0, ceiling_rate=8.0, ceiling_burst=24.0)


def make(me: int = 0, **changes: Any) -> DecisionEngine:
    values: dict[str, object] = dict(
        limiter_id=me,
        limiter_count=3,
        classes=(LOOKUP, ISSUE, HOLD),
        plans=(BASIC, HARD),
        zone="a",
        max_units=4.0,
        max_attempts=3,
        peers=True,
        gossip_messages_per_s=100.0,
        max_retry_after=2.0,
        warm_up_time=10.0,
        warm_up_initial_share=0.2,
        overload_multiple=4.0,
        overload_window=2.0,
    )
    gateway = DecisionEngine(api.Settings(**{**values, **changes}), seed=7)
    gateway.handle(servers("cached", *(entry(f"s{i}", "ab"[i % 2]) for i in range(4))), 0.0)
    return gateway


def entry(name: str, zone: str = "a", state: str = "up", started: float = 0.0) -> api.EndpointEntry:
    return api.EndpointEntry(name, state, zone, 0, 1.0, started)  # type: ignore[arg-type]


def servers(kind: str, *entries: api.EndpointEntry) -> api.EndpointsUpdated:
    return api.EndpointsUpdated(kind, entries)  # type: ignore[arg-type]


_ids = itertools.count()
T = TypeVar("T")


def ask(
    gateway: DecisionEngine, now: float, kind: str = "lookup", **changes: Any
) -> list[api.Action]:
    values: dict[str, object] = dict(
        id=f"r{next(_ids)}",
        class_name=kind,
        plan_name="basic",
        customer="c",
        units=1.0,
        time_left=4.0,
        set_start=0,
        set_size=3,
    )
    return gateway.handle(api.RequestArrived(**{**values, **changes}), now)


def only(actions: Sequence[api.Action], kind: type[T]) -> list[T]:
    return [a for a in actions if isinstance(a, kind)]


def answer(
    gateway: DecisionEngine, send: api.StartAttempt, now: float, status: str = "ok", **more: object
) -> list[api.Action]:
    final = status == "ok"
    event = api.AttemptEnded(send.id, 0, send.endpoint, status, 0.1, final=final, **more)  # type: ignore[arg-type]
    return gateway.handle(event, now)


def spend(gateway: DecisionEngine, now: float, tries: int, **changes: Any) -> int:
    """How many of so many tries go out, each answered at once."""
    sent = 0
    for _ in range(tries):
        for send in only(ask(gateway, now, **changes), api.StartAttempt):
            answer(gateway, send, now)
            sent += 1
    return sent


# Budget


def test_new_gateway_allows_its_part_and_an_old_one_the_whole_burst() -> None:
    assert spend(make(), 0.0, 30) == 4  # 12 / 3
    assert spend(make(), 0.0, 30, set_size=2) == 6
    assert spend(make(), 100.0, 30) == 12


def test_budget_renews_and_carries_over_to_the_burst_at_most() -> None:
    gateway = make()
    assert spend(gateway, 100.0, 30) == 12
    assert spend(gateway, 102.0, 30) == 8
    assert spend(gateway, 120.0, 30) == 12


def test_settlement_may_leave_a_budget_in_debt() -> None:
    gateway = make()
    (send,) = only(ask(gateway, 100.0, units=4.0), api.StartAttempt)
    answer(gateway, send, 100.0, true_units=20.0)
    assert spend(gateway, 100.0, 5) == 0
    assert spend(gateway, 102.0, 5) == 0  # still at nothing
    assert spend(gateway, 103.0, 5) > 0


def test_a_renewal_is_released_evenly_over_its_period() -> None:
    gateway = make()
    assert spend(gateway, 100.0, 30) == 12
    assert spend(gateway, 100.5, 30) == 2
    assert spend(gateway, 101.0, 30) == 2


def test_settlement_counts_once_and_not_for_another_outcome() -> None:
    gateway = make()
    (send,) = only(ask(gateway, 100.0, units=4.0), api.StartAttempt)
    answer(gateway, send, 100.0, true_units=1.0)
    answer(gateway, send, 100.0, true_units=1.0)
    assert spend(gateway, 100.0, 30) == 11


def test_a_second_figure_of_one_request_settles_nothing() -> None:
    gateway = make()
    (send,) = only(ask(gateway, 100.0, units=2.0), api.StartAttempt)
    (again,) = only(answer(gateway, send, 100.1, "error", true_units=4.0), api.StartAttempt)
    gateway.handle(api.AttemptEnded(again.id, 1, again.endpoint, "ok", 0.1, True, 4.0), 100.2)
    assert next(iter(gateway.accounts.values())).quota.level == pytest.approx(12.0 - 4.0, abs=1.0)


def test_excess_is_refused_with_the_time_until_it_fits() -> None:
    gateway = make()
    spend(gateway, 100.0, 12)
    (refusal,) = only(ask(gateway, 100.0), api.RejectRequest)
    assert 0 < refusal.retry_after <= 1.0 and refusal.reason == "quota"


def test_a_refusal_says_its_reason_for_the_counters() -> None:
    assert [r.reason for r in only(ask(make(), 0.0, plan_name="hard"), api.RejectRequest)] == [
        "ceiling"
    ]  # empty at a start
    assert [r.reason for r in only(ask(make(), 0.0, plan_name="none"), api.RejectRequest)] == [
        "unknown"
    ]
    bare = make()
    bare.handle(servers("full"), 0.0)
    assert [r.reason for r in only(ask(bare, 0.0), api.RejectRequest)] == ["no server"]


# Gossip


def tell(source: DecisionEngine, now: float, to: int) -> list[api.GossipReceived]:
    told = only(source.handle(api.TimerFired("beat"), now), api.SendGossip)
    return [
        api.GossipReceived(source.settings.limiter_id, t.text) for t in told if t.limiter_id == to
    ]


def test_gossip_sums_the_use_and_a_repeated_message_changes_nothing() -> None:
    one, other = make(0), make(1)
    assert spend(one, 100.0, 9) == 9
    for message in tell(one, 100.1, to=1) * 3:
        other.handle(message, 100.2)
    assert spend(other, 100.2, 30) == 2  # of 3: some more may be on its way


def test_a_lost_message_is_healed_by_the_next_and_by_the_final_figure() -> None:
    one, other = make(0), make(1)
    spend(one, 100.0, 5)
    tell(one, 100.1, to=1)  # lost
    spend(one, 100.2, 4)
    for message in tell(one, 101.1, to=1):
        other.handle(message, 101.2)
    assert spend(other, 101.2, 30) <= 3 + 4


def test_figures_of_older_periods_are_dropped() -> None:
    one, other = make(0), make(1)
    spend(one, 100.0, 9)
    messages = tell(one, 100.1, to=1)
    for message in messages:
        other.handle(message, 103.0)
    assert spend(other, 103.0, 30) == 12


def test_only_the_customers_other_gateways_are_told_its_charges() -> None:
    one = make(0)
    spend(one, 100.0, 3, set_size=2)
    told = only(one.handle(api.TimerFired("beat"), 100.1), api.SendGossip)
    assert [t.limiter_id for t in told if ":" in t.text] == [1]


def test_charges_find_room_beside_the_loads_of_a_large_fleet() -> None:
    """A load map that fills the message must not crowd out the charges."""
    one = make(0, limiter_count=8)
    one.handle(servers("full", *(entry(f"x{i}") for i in range(80))), 99.0)
    for i in range(60):
        ask(one, 100.0, customer=f"k{i}")
    told: set[str] = set()
    for flush in range(8):
        for message in tell(one, 100.1 + flush / 100, to=1):
            assert len(message.text) <= MAX_DATAGRAM_BYTES
            told |= {word.split(":")[0] for word in message.text.split() if ":" in word}
    assert len(told) == 60


@pytest.mark.parametrize(
    "text",
    [
        "",
        "h",
        "h1 2.0 100",
        "x{p}0aa {k}:0:0:3:0:2i",
        "h{p}0aa {k}:9:0:3:0:2i",
        "h{p}0aa {k}:0:9:3:0:2i",
        "h{p}0aa {k}:0:0:9:0:2i",
        "h{p}0aa {k}:0:0:0:0:2i",
        "h{p}0aa {k}:0:0:3:0:-2i",
        "h{p}0aa {k}:0:0:3:0:2.5",
        "h{p}0aa {k}:0:0:3:0",
        "h{p}0aa {k}:0:0:3:0:2i \x00",
        "h{p}0aa {k}:0:0:3:0:2i a=nan=",
        "h{p}0aa {k}/0/-1",
        "h{p}0aa {k}/7/2i",
        "h{p}0aa {k}/0/inf.",
        "h{old}0aa {k}:0:0:3:0:2i",
        "h{old}0aa {k}/0/2i",
        "h{p}0aa s!9",
        "h{p}0aa {k}:0:0:3:2:2i",
        "h{p}0aa {k}:0:0:3:0:2i  ",
        "h{p}0aa {k}:0:0:3:0:2i" + " s!0" * 99,
    ],
)
def test_a_bad_message_changes_nothing(text: str) -> None:
    gateway = make(0)
    fields = {"k": _key_of("c"), "p": base36(100 % 36), "old": base36(97 % 36)}
    gateway.handle(api.GossipReceived(1, text.format(**fields)), 100.0)
    assert spend(gateway, 100.0, 30) == 12 and not gateway.endpoints["s0"].outlier_records


@pytest.mark.parametrize("sender", [7, -1, 0])
def test_a_message_from_an_unknown_sender_or_oneself_changes_nothing(sender: int) -> None:
    gateway = make(0)
    text = f"h{base36(100 % 36)}0aa {_key_of('c')}:0:0:3:0:2i"
    gateway.handle(api.GossipReceived(sender, text), 100.0)
    assert spend(gateway, 100.0, 30) == 12
    gateway.handle(api.GossipReceived(1, text), 100.0)  # the same from a peer counts: 9 units
    assert spend(gateway, 102.25, 30) == 0 and spend(gateway, 102.5, 30) == 1


def _key_of(customer: str) -> str:
    gateway = make(2)
    ask(gateway, 100.0, customer=customer)
    return next(iter(gateway.accounts))


# Rule 1 and rule 2


def test_odd_requests_get_their_one_answer_at_once() -> None:
    gateway = make()
    for odd in ({"class_name": "x"}, {"plan_name": "x"}, {"units": 0.0}, {"time_left": 0.0}):
        assert len(only(ask(gateway, 100.0, **odd), api.RejectRequest)) == 1


def test_without_a_usable_server_a_request_is_refused() -> None:
    gateway = make()
    gateway.handle(servers("full"), 99.0)
    assert len(only(ask(gateway, 100.0), api.RejectRequest)) == 1


def test_an_unsafe_request_that_may_have_run_fails_and_one_that_did_not_goes_again() -> None:
    gateway = make()
    (send,) = only(ask(gateway, 100.0, "issue"), api.StartAttempt)
    assert only(answer(gateway, send, 100.1, "reset"), api.FailRequest)
    (send,) = only(ask(gateway, 100.2, "issue"), api.StartAttempt)
    assert only(answer(gateway, send, 100.3, "full"), api.StartAttempt)


def test_late_events_for_an_ended_request_are_harmless() -> None:
    gateway = make()
    (send,) = only(ask(gateway, 100.0), api.StartAttempt)
    answer(gateway, send, 100.1)
    assert answer(gateway, send, 100.2, "timeout") == []
    assert gateway.handle(api.ClientDisconnected(send.id), 100.3) == []
    assert gateway.pending_requests == {}


STATUSES = ("ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "never_sent")


@seed(1)
@hyp(max_examples=300, deadline=None, derandomize=True, database=None)
@given(
    kind=st.sampled_from(["lookup", "issue", "hold"]),
    statuses=st.lists(st.sampled_from(STATUSES), min_size=1, max_size=4),
    waits=st.lists(st.floats(0.001, 1.5), min_size=4, max_size=4),
)
def test_every_request_ends_once_and_no_effect_happens_twice(
    kind: str, statuses: list[str], waits: list[float]
) -> None:
    gateway, now = make(), 100.0
    actions = ask(gateway, now, kind)
    zones = {s.entry.name: s.entry.zone for s in gateway.endpoints.values()}
    ran: list[tuple[str, float]] = []
    for number, status in enumerate([*statuses, "timeout", "timeout", "timeout"]):
        sends = only(actions, api.StartAttempt)
        finals = [a for a in actions if isinstance(a, api.RejectRequest | api.FailRequest)]
        assert len(sends) + len(finals) == 1
        if ran and kind == "issue":
            assert not sends and not only(finals, api.RejectRequest)
        if ran and kind == "hold":
            assert not only(finals, api.RejectRequest)
            for send in sends:
                assert zones[send.endpoint] == ran[0][0] and now < ran[0][1] + HOLD.dedup_window
        if finals:
            assert gateway.pending_requests == {}
            return
        sent_at, now = now, now + waits[number % 4]
        if status not in NEVER_RAN:
            ran.append((zones[sends[0].endpoint], sent_at))
        final = status == "ok"
        event = api.AttemptEnded(sends[0].id, number, sends[0].endpoint, status, 0.1, final=final)  # type: ignore[arg-type]
        actions = gateway.handle(event, now)
        if final:
            assert not only(actions, api.StartAttempt) and gateway.pending_requests == {}
            return
    raise AssertionError("never ended")


# Rules 3, 4 and 5


def test_a_draining_or_gone_server_gets_nothing_new() -> None:
    gateway = make()
    gateway.handle(
        servers("change", entry("s0", state="draining"), entry("s2", state="gone")), 99.0
    )
    gateway.handle(servers("change", entry("s1", state="gone")), 99.0)
    used = {
        s.endpoint
        for _ in range(9)
        for s in only(ask(gateway, 100.0, customer=f"{_}"), api.StartAttempt)
    }
    assert used == {"s3"}


def test_a_cold_server_gets_less_than_its_cold_share() -> None:
    gateway = make()
    gateway.handle(servers("change", entry("s0", started=99.9)), 100.0)
    counts = dict.fromkeys(("s0", "s1", "s2", "s3"), 0)
    for i in range(200):
        for send in only(ask(gateway, 100.0 + i * 0.01, customer=f"{i}"), api.StartAttempt):
            counts[send.endpoint] += 1
            answer(gateway, send, 100.0 + i * 0.01)
    warm = (counts["s1"] + counts["s2"] + counts["s3"]) / 3
    assert counts["s0"] <= 0.8 * warm  # four times the cold share may not even be neared


@pytest.mark.parametrize("run", range(5))
def test_the_ceiling_holds_over_gateways_that_restart_and_hear_nothing(run: int) -> None:
    chance, level, at = random.Random(run), HARD.ceiling_burst, 100.0
    fleet = [make(i) for i in range(3)]
    for _ in range(3000):
        now = at + chance.expovariate(60.0)
        level, at = min(HARD.ceiling_burst, level + HARD.ceiling_rate * (now - at)), now
        number = chance.choice((0, 0, 0, 1, 2))
        if chance.random() < 0.002:
            fleet[number] = make(number)
            fleet[number].context.started_at = now
        units = float(chance.randint(1, 4))
        for send in only(ask(fleet[number], now, plan_name="hard", units=units), api.StartAttempt):
            level -= units
            answer(fleet[number], send, now)
        assert level >= -1e-6


# Upkeep


def test_nothing_grows_with_customers_that_never_come_back() -> None:
    gateway = make()
    for i in range(2000):
        for send in only(ask(gateway, 100.0 + i * 0.01, customer=f"k{i}"), api.StartAttempt):
            answer(gateway, send, 100.0 + i * 0.01)
    for i in range(200):
        gateway.handle(api.TimerFired("beat"), 130.0 + i / 10)
    assert (
        not gateway.accounts
        and not gateway.pending_requests
        and not any(gateway.gossip.unsent.values())
    )


def test_costly_requests_do_not_pass_for_a_slow_server() -> None:
    gateway = make()
    server = gateway.endpoints["s0"]
    for i in range(40):
        (send,) = only(ask(gateway, 100.0 + i, customer=f"{i}"), api.StartAttempt)
        cost = 20.0 if i % 20 == 0 else 0.1
        gateway.handle(
            api.AttemptEnded(send.id, 0, send.endpoint, "ok", cost, final=True), 100.5 + i
        )
    assert all(s.work_factor < 2.0 for s in gateway.endpoints.values()) and server.work_factor > 0


def test_a_long_aim_does_not_let_a_cheap_class_shut_out_a_dear_one() -> None:
    dear = api.RequestClass(
        "dear", latency_objective=1.0, deadline=4.0, priority_weight=9.0, effect="safe"
    )
    cheap = api.RequestClass(
        "cheap", latency_objective=9.0, deadline=20.0, priority_weight=1.0, effect="safe"
    )
    gateway = make(classes=(dear, cheap))
    assert (
        gateway.load_shedding.wait_limit(cheap) == 1.0
        and gateway.load_shedding.wait_limit(dear) == 1.0
    )


def test_under_pressure_a_retry_past_its_aim_yields_to_one_that_can_be_in_time() -> None:
    gateway = make()
    for server in gateway.endpoints.values():
        # seconds of work: a wait between the two limits
        server.in_flight["other", 0], server.last_progress_at = 0.4, 100.0
    assert only(ask(gateway, 100.1, customer="a", time_left=2.5), api.RejectRequest)
    assert only(ask(gateway, 100.1, customer="b", time_left=4.0), api.StartAttempt)
    assert only(ask(gateway, 100.1, customer="c", time_left=3.5), api.StartAttempt)


@pytest.mark.parametrize("marks", [False, True])
def test_first_tries_that_come_with_a_part_of_the_time_are_not_taken_for_old(marks: bool) -> None:
    """Some clients give a first try 60% of the time and its retry all that is left.

    That shows no age.
    """
    gateway = make(clients_mark_retries=marks)
    # learned where clients mark nothing, known where they do
    for turn in range(6 if not marks else 0):
        spend(gateway, 100.0, 1, customer=f"{turn}", time_left=2.4 + turn / 1000)
        spend(gateway, 100.0, 1, customer=f"r{turn}", time_left=3.9)
    for server in gateway.endpoints.values():
        server.in_flight["other", 0], server.last_progress_at = 0.4, 100.0
    assert only(ask(gateway, 100.1, customer="a", time_left=2.4), api.StartAttempt)
    assert only(ask(gateway, 100.1, customer="b", time_left=2.0, is_retry=marks), api.RejectRequest)


@pytest.mark.parametrize("gateways", [3, 12])
def test_in_a_large_fleet_a_few_tries_alike_do_not_pass_for_the_clients_way(gateways: int) -> None:
    """Each gateway of it sees little.

    Retries after a fixed wait, cut alike, would hold for first tries.
    """
    gateway = make(limiter_count=gateways)
    spend(gateway, 100.0, 1, customer="first", time_left=4.0)
    for turn in range(6):
        spend(gateway, 100.0, 1, customer=f"{turn}", time_left=2.4)
    for server in gateway.endpoints.values():
        server.in_flight["other", 0], server.last_progress_at = 0.7 if gateways > 8 else 0.4, 100.0
    late = [
        action.reason
        for action in only(ask(gateway, 100.1, customer="a", time_left=2.4), api.RejectRequest)
    ]
    assert late == ([] if gateways == 3 else ["late"])


def test_advice_under_pressure_lets_an_obedient_retry_be_in_time() -> None:
    gateway = make()
    for server in gateway.endpoints.values():
        server.in_flight["other", 0] = 9.0
    (refusal,) = only(ask(gateway, 100.0), api.RejectRequest)
    assert 0 < refusal.retry_after < LOOKUP.latency_objective / 2


def test_the_same_events_and_seed_give_the_same_actions() -> None:
    def play() -> list[api.Action]:
        gateway, seen = make(), []
        for i in range(50):
            seen += ask(gateway, 100.0 + i / 10, id=f"q{i}", customer=f"{i % 5}")
        return seen

    assert play() == play()


@pytest.mark.parametrize(
    "name, value",
    [
        ("limiter_id", 3),
        ("max_attempts", 0),
        ("gossip_messages_per_s", 0.0),
        ("classes", ()),
        ("plans", (api.Plan("p", 1.0, 0.0),)),
    ],
)
def test_settings_that_cannot_be_acted_on_are_named(name: str, value: object) -> None:
    with pytest.raises(ValueError, match=name):
        make(**{str(name): value})  # type: ignore[arg-type]


def test_customers_that_come_once_and_hosts_that_fail_leave_nothing_behind() -> None:
    gateway, most = make(), 0
    for second in range(1, 60):
        gateway.handle(api.TimerFired("beat"), float(second))
        for n in range(20):
            (send,) = only(ask(gateway, second + 0.1, customer=f"{second}-{n}"), api.StartAttempt)
            status: api.Status = "error" if n % 5 == 0 else "ok"
            gateway.handle(
                api.AttemptEnded(send.id, 0, send.endpoint, status, 0.1, True), second + 0.2
            )
        gateway.handle(
            servers("change", entry(f"s{second % 4}", started=float(second))), second + 0.5
        )
        most = max(most, len(gateway.accounts))
    assert (
        most <= 20 * 5
        and not gateway.pending_requests
        and not gateway.outliers.recent_failures
        and len(gateway.endpoints) == 4
    )


def test_an_account_whose_charges_are_still_told_is_not_forgotten_in_between() -> None:
    """A fresh account would take the total that is told again for a new charge."""
    gateway, head, seen = make(), "h{}0x ", set()
    charge = f"{base36(77)}:0:0:3:0:"
    for tenth in range(10, 50):
        gateway.handle(api.TimerFired("beat"), tenth / 10)
        period = base36(tenth // 10)
        gateway.handle(
            api.GossipReceived(1, head.format(period) + charge + base36(10)), tenth / 10 + 0.01
        )
        seen.add(id(gateway.accounts[base36(77)]))
    assert len(seen) == 1


def opened(gateway: DecisionEngine, now: float) -> int:
    """How many requests of one customer are let in, one after the other, while none ends."""
    return sum(bool(only(ask(gateway, now, plan_name="few"), api.StartAttempt)) for _ in range(8))


def test_a_limit_on_requests_open_goes_by_what_peers_are_likely_to_have_out() -> None:
    """A fixed share of a small limit turns away what the set has room for.

    Without it a busy set would pass the limit.
    """
    few = api.Plan("few", rate=100.0, burst=300.0, open_limit=6)
    assert opened(make(plans=(few,)), 1.0) == 6
    key = base36(crc32(b"c") % 36**5)
    for units, most in (
        (4, 4),
        (10, 2),
        (90, 2),
    ):  # a second, by each of two peers, at a sixth of a second each
        gateway = make(plans=(few,))
        for peer in (1, 2):
            gateway.handle(
                api.GossipReceived(peer, f"h10x {key}:0:0:3:0:{base36(10 * units)}"), 1.9
            )
        assert opened(gateway, 1.9) == most


@pytest.mark.parametrize(
    "incarnations, basic, hard", [((0.0, 0.6), 12, 8), ((0.0, -10.0), 4, 0), ((0.0,), 4, 0)]
)
def test_who_began_together_has_the_whole_burst_and_who_began_later_a_part(
    incarnations: tuple[float, ...], basic: int, hard: int
) -> None:
    """Of one that starts among older ones.

    Or has not met all, it is not known what was spent before.
    """
    for plan, most in (("basic", basic), ("hard", hard)):
        gateway = make()
        gateway.context.started_at, gateway.context.incarnation = 1000.0, incarnation_name(1000.0)
        let_in = [ask(gateway, 1000.0, plan_name=plan)]
        for peer, start in enumerate(incarnations, 1):
            gateway.handle(
                api.GossipReceived(
                    peer, f"h{base36(1000 % 36)}0{incarnation_name(1000.0 + start)}"
                ),
                1000.0,
            )
        let_in += [ask(gateway, 1000.0, plan_name=plan) for _ in range(30)]
        assert sum(bool(only(actions, api.StartAttempt)) for actions in let_in) == most


def test_an_attempt_that_broke_off_at_once_costs_few_retries_and_a_long_one_costs_a_whole_one() -> (
    None
):
    """Resets by the dozen cost the servers nothing.

    Were they to spend the retries, requests would fail for it.
    """
    for elapsed, most in ((0.0002, 200), (0.5, 30)):
        gateway, retried = make(), 0
        for number in range(200):
            (send,) = only(ask(gateway, 1.0 + number, customer=str(number)), api.StartAttempt)
            event = api.AttemptEnded(send.id, 0, send.endpoint, "reset", elapsed)
            again = only(gateway.handle(event, 1.0 + number), api.StartAttempt)
            retried += len(again)
            for further in again:
                gateway.handle(
                    api.AttemptEnded(send.id, 1, further.endpoint, "ok", 0.1, True), 1.0 + number
                )
        assert 0.9 * most <= retried <= most


def test_requests_that_peers_say_they_have_open_count_until_they_will_have_ended() -> None:
    few, key = api.Plan("few", rate=100.0, burst=300.0, open_limit=6), base36(crc32(b"c") % 36**5)
    for later, most in ((0.0, 2), (0.9, 5)):
        gateway = make(plans=(few,))
        for peer in (1, 2):
            gateway.handle(api.GossipReceived(peer, f"h10x {key}:0:0:3:0:{base36(10)}:2"), 1.0)
        assert opened(gateway, 1.0 + later) == most


def test_a_request_leaves_room_for_what_peers_have_charged_and_not_told_yet() -> None:
    quick, key = api.Plan("quick", rate=1.0, burst=100.0), base36(crc32(b"c") % 36**5)
    for heard, most in ((0, 10), (50, 8)):
        gateway = make(plans=(quick,))
        ask(gateway, 1.9, plan_name="quick", units=0.001)
        gateway.handle(api.GossipReceived(1, f"h10x {key}:0:0:3:0:{base36(10 * heard)}"), 1.9)
        gateway.accounts[key].quota.level = 10.0
        assert (
            sum(
                bool(only(ask(gateway, 1.9, plan_name="quick"), api.StartAttempt))
                for _ in range(20)
            )
            == most
        )


def hung(gateway: DecisionEngine, kind: str, wait: float, answers: bool) -> tuple[list[str], str]:
    """The host at which a request hangs after some usual ones.

    And those it goes to once the gateway has looked.
    """
    for number in range(30):
        for send in only(ask(gateway, 1.0 + number / 10, customer=str(number)), api.StartAttempt):
            gateway.handle(
                api.AttemptEnded(send.id, 0, send.endpoint, "ok", 0.02, True), 1.02 + number / 10
            )
    (send,) = only(ask(gateway, 5.0, kind), api.StartAttempt)
    gateway.load.queue_wait = wait
    if answers:
        gateway.endpoints[send.endpoint].last_progress_at = 5.7
    cancels = only(gateway.handle(api.TimerFired("beat"), 5.75), api.CancelAttempt)
    actions = [
        gateway.handle(api.AttemptEnded(c.id, c.attempt, send.endpoint, "cancelled", 0.75), 5.75)
        for c in cancels
    ]
    return [again.endpoint for a in actions for again in only(a, api.StartAttempt)], send.endpoint


@pytest.mark.parametrize("answers", [False, True])
def test_what_hangs_at_a_calm_time_goes_to_another_server(answers: bool) -> None:
    gateway = make(cancellation=True)
    (other,), first = hung(gateway, "lookup", 0.0, answers)
    assert other != first
    # one answer that is lost is no failing server
    assert bool(gateway.endpoints[first].outlier_records) is not answers


def test_what_hangs_stays_in_an_overload_and_where_it_may_not_be_repeated() -> None:
    assert hung(make(cancellation=True), "lookup", 0.5, False)[0] == []
    assert hung(make(cancellation=True), "issue", 0.0, False)[0] == []
    assert hung(make(), "lookup", 0.0, False)[0] == []


def test_a_server_that_answers_nothing_gets_nothing_new() -> None:
    gateway = make()
    (hangs,) = only(ask(gateway, 1.0), api.StartAttempt)
    for name, server in gateway.endpoints.items():
        server.work_factor = 1.0 if name == hangs.endpoint else 5.0  # else it would be the best
    later = set()
    for number in range(40):
        (send,) = only(ask(gateway, 1.9, customer=str(number)), api.StartAttempt)
        gateway.handle(api.AttemptEnded(send.id, 0, send.endpoint, "ok", 0.05, True), 1.9)
        later.add(send.endpoint)
    assert later and hangs.endpoint not in later
