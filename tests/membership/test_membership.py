"""The view of the fleet.

Its merge, its words, its seal; and what members come to hold when links and processes break.
"""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.bench import fleet as bench
from hazelhollow.bench.fleet import Sim
from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.membership import codec
from hazelhollow.membership.authentication import MessageAuthenticator, parse_keys
from hazelhollow.membership.codec import Message, MessageKind
from hazelhollow.membership.incarnation import INCARNATIONS_PER_S
from hazelhollow.membership.member_table import BUCKETS, MemberTable
from hazelhollow.membership.membership import Membership
from hazelhollow.membership.records import (
    MemberState,
    Record,
    merge,
    pack_address,
    unpack_address,
)
from hazelhollow.membership.sender import Datagram
from hazelhollow.membership.settings import MembershipSettings
from hazelhollow.membership.timing import PROBE_INTERVAL_S
from tests.scenario import SETTINGS
from tests.test_gateway import ask, entry, only, servers

MEMBERS = 40
records = st.builds(
    Record,
    st.integers(0, MEMBERS - 1),
    st.integers(0, 36**9),
    st.integers(0, 50),
    st.integers(0, MemberState.LEFT),
    st.lists(st.integers(0, MEMBERS - 1), max_size=codec.MAX_UNREACHABLE).map(tuple),
    st.text("abc0189", max_size=codec.MAX_VERSIONS_BYTES),
    st.sampled_from(["", pack_address("127.0.0.9", 7946)]),
)
of_one = records.map(lambda record: record._replace(number=3))


# Records


@given(of_one, of_one, of_one)
def test_merging_is_associative_commutative_and_idempotent(a: Record, b: Record, c: Record) -> None:
    assert merge(merge(a, b), c) == merge(a, merge(b, c))
    assert merge(a, b) == merge(b, a) and merge(a, a) == a


@given(st.lists(records, max_size=30), st.randoms(use_true_random=False))
def test_tables_that_heard_the_same_in_any_order_show_the_same_sums(
    told: list[Record], chance: random.Random
) -> None:
    one, other, mixed = MemberTable(), MemberTable(), told + told
    chance.shuffle(mixed)
    for table, lines in ((one, told), (other, mixed)):
        for record in lines:
            table.put(record)
    assert sorted(one) == sorted(other)
    assert (one.digest(), one.bucket_digests()) == (other.digest(), other.bucket_digests())


@given(st.lists(records, min_size=1, max_size=30), records)
def test_a_table_that_knows_more_shows_other_sums_in_that_bucket_alone(
    told: list[Record], more: Record
) -> None:
    one, other = MemberTable(), MemberTable()
    for record in told:
        one.put(record)
        other.put(record)
    before = one.get(more.number)
    other.put(more)
    known = (before and before[:4]) == (other.get(more.number) or more)[:4]
    differ = [
        n
        for n, (a, b) in enumerate(zip(one.bucket_digests(), other.bucket_digests(), strict=True))
        if a != b
    ]
    assert differ == ([] if known else [more.number % BUCKETS])


# Words


kinds = st.sampled_from(sorted(codec.ARGUMENT_COUNTS)).flatmap(
    lambda kind: st.tuples(
        st.just(kind),
        st.lists(
            st.integers(0, MEMBERS - 1),
            min_size=codec.ARGUMENT_COUNTS[kind],
            max_size=codec.ARGUMENT_COUNTS[kind],
        ),
    )
)
heads = st.builds(
    lambda kind, sender, serial, digest: Message(kind[0], sender, serial, digest, tuple(kind[1])),
    kinds,
    records,
    st.integers(0, 36**5 - 1),
    st.integers(0, 36**5 - 1),
)


@given(heads, st.lists(records, max_size=20), st.sets(st.integers(0, 19)), st.booleans())
def test_what_is_written_reads_as_it_was_and_fits(
    message: Message, told: list[Record], alike: set[int], relative: bool
) -> None:
    sender = message.sender
    if (
        message.kind == MessageKind.BUCKET_DIGESTS
    ):  # these leave no room for more, as the sender knows
        sender = sender._replace(unreachable=(), versions="")
        message = message._replace(sender=sender)
    told = [r._replace(versions=sender.versions) if n in alike else r for n, r in enumerate(told)]
    text, taken = codec.encode(message, told, relative=relative)
    assert len(text) <= codec.MAX_TEXT_BYTES
    assert codec.decode(text, MEMBERS) == message._replace(records=tuple(told[:taken]))


def test_records_relative_to_the_senders_take_a_third_of_the_room_and_never_more() -> None:
    versions = "i4pz002k3f9005wa1cz0q1"
    sender = Record(3, 9**15, 2, MemberState.ALIVE, (), versions)
    told = [Record(n, 9**15 + 20_000 * n, 1, MemberState.ALIVE, (), versions) for n in range(4, 34)]
    message = Message(MessageKind.RECORDS, sender, 7, 99)
    assert codec.encode(message, told, relative=True)[1] >= 3 * codec.encode(message, told)[1]
    strange = [Record(n, 1, 0, MemberState.DEAD, (1, 2), "other") for n in range(4, 34)]
    assert codec.encode(message, strange, relative=True) == codec.encode(message, strange)


@pytest.mark.parametrize(
    "word",
    [
        "4.+1.0.1=",
        "4.-zzzzzzzz.0.1",
        "4.+.0.1",
        "4.+1.0.9=",
        "4.+1.0.=",
        "4.+1.0.1==",
        "zz.+1.0.1",
        "4.+1.0.1=..abc",
        "4.+1",
        "4.+-1.0.1",
        "4.+1.0.1=.1.i4",
    ],
)
def test_what_cannot_be_relative_to_the_sender_is_no_message(word: str) -> None:
    versions = ".." + "i4" if word != "4.+1.0.1=" else ""  # else the sender's versions are none
    head = f"v1p 3.1000.1.1{versions}/1/1 1"
    assert (
        codec.decode(head, MEMBERS) is not None and codec.decode(f"{head} {word}", MEMBERS) is None
    )


LONG = codec.encode(
    Message(MessageKind.PING, Record(3, 9**9, 2, MemberState.ALIVE), 7, 99, (5,)),
    [Record(4, 8**9, 1, MemberState.DEAD)] * 20,
    999,
)[0]
SOUND = codec.encode(
    Message(MessageKind.PING_REQUEST, Record(3, 9**9, 2, MemberState.ALIVE), 7, 99, (5, 4)),
    [Record(4, 8**9, 1, MemberState.DEAD)],
)[0]


@pytest.mark.parametrize(
    "text",
    [
        "",
        "v",
        "h123",
        LONG,
        "v2" + SOUND[2:],
        SOUND + " ",
        SOUND + "x" * 300,
        SOUND.replace("/", " "),
        SOUND.upper(),
        "v1x 3.1.1.1/1/1 ",
        "v1p 3.1.1.9/1/1 1",
        "v1p zz.1.1.1/1/1 1",
        "v1q 3.1.1.1/1/1 1",
        "v1q 3.1.1.1/1/1 1-zz",
        "v1p 3.1.1.1/1/1 -1",
        "v1p 3.1.1.1/1/1 1 4.1.1",
        "v1p 3.1.1.1/1/1 1 4.1.1.1.2.a.b",
        "v1p 3.1.1.1/1/1 1 4.1.1.1..\u0661",
    ],
)
def test_what_cannot_be_is_no_message(text: str) -> None:
    assert codec.decode(SOUND, MEMBERS) is not None and codec.decode(text, MEMBERS) is None


@given(st.text(max_size=80) | st.integers(0, len(SOUND)).map(lambda n: SOUND[:n]))
def test_no_text_makes_reading_fail(text: str) -> None:
    codec.decode(text, MEMBERS)


OLD, NEW, OTHER = b"o" * 16, b"n" * 16, b"x" * 16


def test_keys_can_be_changed_while_the_fleet_runs() -> None:
    steps = [[OLD], [OLD, NEW], [NEW, OLD], [NEW]]
    for before, after in zip(steps, steps[1:], strict=False):
        for one, other in ((before, after), (after, before)):
            assert (
                MessageAuthenticator(one).verify(MessageAuthenticator(other).sign(SOUND)) == SOUND
            )


@pytest.mark.parametrize(
    "text",
    [
        SOUND,
        MessageAuthenticator([OTHER]).sign(SOUND),
        MessageAuthenticator([OLD]).sign(SOUND)[:-1],
        MessageAuthenticator([OLD]).sign(SOUND).replace("v1q", "v1p"),
        "",
        "~",
        SOUND + " ~" + "\xe9" * 16,
    ],
)
def test_a_seal_refuses_what_no_key_made(text: str) -> None:
    assert MessageAuthenticator([OLD, NEW]).verify(text) is None


def test_a_key_file_says_what_is_wrong_with_it() -> None:
    assert parse_keys(b"# first\n" + OLD + b"\n\n" + NEW) == [OLD, NEW]
    for text, says in ((b"short", "shorter than 16"), (b"# none\n", "no key")):
        with pytest.raises(ValueError, match=says):
            parse_keys(text)


# One member


def alone(me: int = 0, members: int = 3, now: float = 1000.0) -> Membership:
    return Membership(MembershipSettings(me, members, 1), now)


def from_peer(
    sender: Record,
    serial: int = 1,
    kind: MessageKind = MessageKind.PING,
    parts: tuple[int, ...] = (1,),
    told: tuple[Record, ...] = (),
) -> str:
    return codec.encode(Message(kind, sender, serial, 0, parts), told)[0]


PEER = Record(1, 36**8, 1, MemberState.ALIVE)


def answered(
    one: Membership, now: float, serial: int = 1, told: tuple[Record, ...] = ()
) -> list[Datagram]:
    """The peer answers a ping of this beat; an answer to none that waits would wake nobody.

    What the beat sent.
    """
    sent = one.tick(now)
    ping = next(
        m
        for s in sent
        if s.recipient == 1 and (m := codec.decode(s.text, 3)) and m.kind == MessageKind.PING
    )
    one.receive(
        1,
        from_peer(PEER, serial=serial, kind=MessageKind.ACK, parts=ping.arguments, told=told),
        now + 0.1,
    )
    return sent


@pytest.mark.parametrize(
    ("source", "text", "counted"),
    [
        (1, "v1 nonsense", "garbled"),
        (1, from_peer(PEER)[:20], "garbled"),
        (2, from_peer(PEER), "forged"),
        (0, from_peer(PEER._replace(number=0)), "forged"),
        (1, from_peer(PEER, serial=5), "replayed"),
        (1, from_peer(PEER, serial=4), "replayed"),
        (1, from_peer(PEER._replace(incarnation=PEER.incarnation - 1), serial=9), "earlier_life"),
    ],
)
def test_what_is_dropped_is_counted_and_changes_nothing(
    source: int, text: str, counted: str
) -> None:
    one = alone()
    for serial in (4, 5):
        one.receive(1, from_peer(PEER, serial=serial), 1000.1)
    before = sorted(one.table)
    one.receive(source, text, 1000.2)
    assert one.counts[counted] == 1 and sorted(one.table) == before


def test_datagrams_that_overtake_each_other_are_not_replays() -> None:
    one = alone()
    for serial in (5, 3, 4, 70):
        one.receive(1, from_peer(PEER, serial=serial), 1000.1)
    assert one.counts["replayed"] == 0
    one.receive(1, from_peer(PEER, serial=5), 1000.1)  # far behind the newest counts as come before
    assert one.counts["replayed"] == 1


def test_one_that_is_suspected_or_held_dead_refutes_it() -> None:
    for state in (MemberState.SUSPECT, MemberState.DEAD):
        one = alone()
        answered(one, 1000.0)
        assert one.own.state == MemberState.ALIVE
        one.receive(1, from_peer(PEER, serial=2, told=(one.own._replace(state=state),)), 1000.2)
        told = one.table.get(0)
        assert told and told.state == MemberState.ALIVE and told.record_version == 2


def test_the_later_start_of_two_with_one_number_goes_on() -> None:
    one = alone()
    answered(one, 1000.0)
    one.receive(
        1,
        from_peer(PEER, serial=2, told=(one.own._replace(incarnation=one.own.incarnation + 1),)),
        1000.2,
    )
    assert one.superseded and not one.may_admit and one.tick(1000.3) == []


def test_a_twin_of_this_machine_that_began_later_goes_on_and_this_one_itself_is_no_twin() -> None:
    one, twin = alone(), alone(now=1001.0)
    assert one.detect_duplicate(one.own_announcement()) and twin.detect_duplicate(
        one.own_announcement()
    )
    assert not one.superseded and not twin.superseded
    assert (
        one.detect_duplicate(twin.own_announcement())
        and one.superseded
        and not twin.detect_duplicate(from_peer(PEER))
    )


def test_one_that_says_where_it_is_is_known_by_that_alone() -> None:
    address = pack_address("127.0.0.9", 7946)
    text = from_peer(PEER._replace(address=address))
    assert unpack_address(address) == ("127.0.0.9", 7946)
    assert alone().identify_sender(text, ("127.0.0.9", 7946)) == 1
    assert (
        alone().identify_sender(text, ("127.0.0.9", 7947)) is None
        and alone().identify_sender(from_peer(PEER), ("127.0.0.9", 7946)) is None
    )
    assert alone(me=1).identify_sender(text, ("127.0.0.9", 7946)) is None


def test_a_clock_set_back_goes_past_the_earlier_life_only_while_joining_and_once() -> None:
    one = alone()
    later = one.own.incarnation + 10**9
    one.receive(1, from_peer(PEER, told=(one.own._replace(incarnation=later),)), 1000.1)
    assert one.own.incarnation > later and not one.superseded
    one.receive(
        1,
        from_peer(PEER, serial=2, told=(one.own._replace(incarnation=one.own.incarnation + 1),)),
        1000.2,
    )
    assert one.superseded


def test_one_that_stood_still_acts_only_once_a_peer_has_answered_or_it_is_alone() -> None:
    one = alone()
    answered(one, 1000.0)
    one.tick(1000.25)
    assert one.may_admit
    sent = one.tick(1005.0)
    assert not one.may_admit and sent
    one.receive(1, from_peer(PEER, serial=2, kind=MessageKind.ACK, parts=(1,)), 1005.05)
    assert not one.may_admit  # it answers a ping of before
    dead = one.own._replace(state=MemberState.DEAD)
    answered(one, 1005.25, serial=3, told=(dead,))
    assert (
        one.may_admit and one.own.record_version == dead.record_version + 1
    )  # it has learned of its death first
    one.tick(1010.0)
    for n in range(8):
        one.tick(1010.25 + n * PROBE_INTERVAL_S)
    assert one.may_admit  # nobody is there


def test_while_it_stood_still_nobody_died() -> None:
    one = alone()
    answered(one, 1000.0)
    for n in range(1, 8):
        one.tick(1000.0 + n * PROBE_INTERVAL_S)
    suspects = [r for r in one.table if r.state == MemberState.SUSPECT]
    assert suspects  # the peer says nothing any more
    one.tick(1020.0)
    assert not [r for r in one.table if r.state == MemberState.DEAD]


# Many members


def settled(members: int, seed: int = 1, lose: float = 0.0) -> Sim:
    sim = Sim(members, seed, lose)
    sim.start_all()
    assert sim.settle(longest=10.0) is not None
    return sim


def states(sim: Sim, observer: int) -> dict[int, str]:
    return {
        number: state
        for number, (state, _) in sim.members[observer].membership.member_states().items()
    }


@pytest.mark.parametrize("seed", range(5))
def test_twenty_started_in_the_same_moment_agree(seed: int) -> None:
    settled(20, seed)


def test_a_fleet_whose_first_members_are_dead_agrees_on_that() -> None:
    sim = Sim(8, 1)
    for number in range(2, 8):
        sim.start(number)
    assert sim.settle(longest=10.0) is not None
    assert states(sim, 5)[0] == "dead"
    sim.start(0)
    assert sim.settle(longest=5.0) is not None


@pytest.mark.parametrize("seed", range(3))
def test_a_crash_a_crash_of_half_and_their_return_settle(seed: int) -> None:
    sim = settled(12, seed)
    for gone in ([4], [0, 1, 2, 3, 5, 6]):
        for number in gone:
            sim.kill(number)
        began = sim.now
        assert sim.settle(longest=6.0) is not None
        assert all(sim.suspected[number] - began < 3.0 for number in gone)
        for number in gone:
            sim.start(number)
        assert sim.settle(longest=5.0) is not None


@pytest.mark.parametrize("seed", range(3))
def test_two_parts_settle_each_and_then_together(seed: int) -> None:
    sim = settled(12, seed)
    sim.cut = lambda a, b: (a < 5) != (b < 5)
    assert sim.settle(lambda: sim.agreed(range(5)) and sim.agreed(range(5, 12)), 10.0) is not None
    assert states(sim, 0)[11] == "dead"
    sim.cut = lambda a, b: False
    assert sim.settle(longest=5.0) is not None


def test_a_cut_between_two_alone_kills_nobody_and_both_say_that_they_cannot_hear() -> None:
    sim = settled(8)
    sim.cut = lambda a, b: {a, b} == {2, 6}
    sim.forget()
    sim.run(15.0)
    assert sim.deaths == [] and sim.agreed()
    assert sim.members[2].membership.unreachable() == [6] and sim.members[
        6
    ].membership.unreachable() == [2]
    assert sim.members[2].membership.cannot_hear_us() == (6,) and {
        r.unreachable for r in sim.members[4].membership.table if r.number == 2
    } == {(6,)}
    sim.cut = lambda a, b: False
    sim.run(8.0)
    assert (
        sim.members[2].membership.unreachable() == []
        and sim.members[6].membership.cannot_hear_us() == ()
    )


def test_a_link_one_way_is_told_by_the_side_that_cannot_hear() -> None:
    sim = settled(8)
    sim.cut = lambda a, b: (a, b) == (2, 6)
    sim.run(15.0)
    assert (
        sim.members[6].membership.unreachable() == [2]
        and sim.members[2].membership.unreachable() == []
    )
    assert sim.members[2].membership.cannot_hear_us() == (6,) and sim.agreed()


def test_one_that_hears_all_and_is_heard_by_none_is_dead_to_the_others_until_it_can_speak() -> None:
    sim = settled(6)
    sim.cut = lambda a, b: a == 3
    sim.run(8.0)
    assert all(states(sim, n)[3] == "dead" for n in range(6) if n != 3)
    sim.cut = lambda a, b: False
    assert sim.settle(longest=5.0) is not None


def test_flapping_links_settle_once_they_hold() -> None:
    sim = settled(10)
    for turn in range(12):
        sim.cut = (lambda a, b: (a < 5) != (b < 5)) if turn % 2 else (lambda a, b: False)
        sim.run(0.5)
    sim.cut = lambda a, b: False
    assert sim.settle(longest=5.0) is not None


def test_one_paused_past_its_death_learns_of_it_before_it_acts() -> None:
    sim = settled(6)
    sim.pause(2)
    sim.run(8.0)
    assert states(sim, 0)[2] == "dead"
    one = sim.members[2].membership
    turn = one.own.record_version
    sim.resume(2)
    assert not one.may_admit
    assert sim.settle(lambda: one.may_admit, 1.0) is not None
    assert one.own.record_version > turn and sim.settle(longest=5.0) is not None


def test_one_that_left_is_not_held_for_dead_and_can_come_back() -> None:
    sim = settled(6)
    sim._pass(sim.members[2], sim.members[2].membership.leave(sim.now))
    sim.kill(2)
    sim.run(3.0)
    assert {states(sim, n)[2] for n in (0, 1, 3)} == {"left"}
    sim.start(2)
    assert sim.settle(longest=5.0) is not None


def test_one_that_starts_again_with_its_clock_set_back_is_taken_for_alive() -> None:
    sim = settled(6)
    sim.kill(2)
    sim.start(2, clock_back=3600.0)
    assert sim.settle(longest=6.0) is not None
    assert sim.members[2].membership.counts["life_raised"] == 1


def test_what_rumours_missed_is_found_by_digests() -> None:
    sim = Sim(7, 1)
    for number in range(6):
        sim.start(number)
    assert sim.settle(longest=10.0) is not None
    sim.run(10.0)
    missed = Record(6, 36**8, 3, MemberState.LEFT)
    # as if the rumour of it had died out before it came to anybody
    sim.members[0].membership.table.put(missed)
    sim.run(5.0)
    assert {one.membership.table.get(6) for one in sim.members.values()} == {missed}


def test_loss_kills_nobody_and_messages_do_not_grow_with_the_fleet() -> None:
    rates = []
    for members in (8, 48):
        sim = settled(members, lose=0.1)
        sim.run(20.0)
        sim.forget()
        sim.run(10.0)
        assert sim.deaths == []
        rates.append(sim.sent / members)
    assert rates[1] < 1.3 * rates[0]


def test_the_bench_reports_each_scenario_by_size() -> None:
    found = bench.report([6], 2, 0.1, 0.5, lambda text: None)["6"]
    assert found["false_deaths"] == 0 and found["member_minutes"] == 3.0
    assert all(
        found[key]["not_settled"] == 0 and found[key]["worst"] < 6
        for key in ("start", "one_dead", "half_dead", "split", "heal")
    )


# What the decision module makes of it


def gateway(gateways: int = 3) -> DecisionEngine:
    one = DecisionEngine(
        replace(SETTINGS, limiter_count=gateways, gossip_messages_per_s=100.0), seed=1
    )
    one.handle(servers("full", entry("s1")), 1000.0)
    return one


def test_one_that_does_not_act_takes_nothing_new_and_says_so_harmlessly() -> None:
    one = gateway()
    one.handle(api.MembershipChanged(False, (0, 1, 2)), 1000.1)
    refused = only(ask(one, 1000.2, "look"), api.RejectRequest)[0]
    assert refused.reason == "away" and one.pending_requests == {}
    one.handle(api.MembershipChanged(True, (0, 1, 2)), 1000.3)
    assert only(ask(one, 1000.4, "look"), api.StartAttempt)


def told(one: DecisionEngine, now: float) -> set[int]:
    return {
        action.limiter_id
        for action in one.handle(api.TimerFired("beat"), now)
        if isinstance(action, api.SendGossip)
    }


@pytest.mark.parametrize(
    "event",
    [
        api.MembershipChanged(True, (0, 1)),
        api.MembershipChanged(True, (0, 1, 2), cannot_hear_us=(2,)),
    ],
)
def test_those_that_are_gone_or_cannot_hear_are_not_told_until_they_are_back(
    event: api.MembershipChanged,
) -> None:
    one = gateway()
    one.handle(event, 1000.1)
    ask(one, 1000.2, "look", set_size=3)
    assert told(one, 1000.3) == {1}
    one.handle(api.MembershipChanged(True, (0, 1, 2)), 1000.4)
    assert 2 in told(one, 1000.5)  # with what was charged meanwhile


def test_those_are_older_whose_life_began_so_long_before() -> None:
    one = alone()
    for number, seconds in ((2, 3.9), (3, 4.1), (4, 400.0), (5, -5.0)):
        one.table.put(
            Record(
                number,
                one.own.incarnation - round(seconds * INCARNATIONS_PER_S),
                1,
                MemberState.ALIVE,
            )
        )
    one.table.put(Record(6, 0, 0, MemberState.DEAD))  # nobody has ever seen it
    assert one.started_before(4.0) == {3, 4}
