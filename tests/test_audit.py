"""Versions, the rule about stragglers, documents on their way, the record and its merge.

The modules alone.
"""

from __future__ import annotations

import json
import os
import random
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.configuration import files, merge, record, report, transfer, versions
from hazelhollow.configuration.known import KnownVersions
from hazelhollow.configuration.record import Entry, Record, Segments
from hazelhollow.configuration.stragglers import ASK_FOR, FLOOR, STEADY, Rule
from hazelhollow.configuration.versions import MOST_CANARIES, Candidate, Phase, Versions
from hazelhollow.fault_injection.commands import fleet
from hazelhollow.membership.codec import MAX_VERSIONS_BYTES
from hazelhollow.membership.records import MemberState
from hazelhollow.membership.records import Record as FleetRecord

OLD, NEW, OTHER = (
    Versions("i", "abc", order, digest) for order, digest in ((1, "aaaa"), (2, "bbbb"), (2, "cccc"))
)
alnum = st.text("abcxyz0189", min_size=1, max_size=4)


@given(
    st.builds(
        Versions,
        st.sampled_from("hij"),
        st.just("4pz"),
        st.integers(0, 46655),
        st.just("k3f9"),
        st.integers(0, 36**4 - 1),
        st.just("a1c"),
        st.just("z0q1"),
        st.none() | st.builds(Candidate, st.integers(1, MOST_CANARIES), st.sampled_from(Phase)),
    )
)
def test_versions_are_read_as_they_were_written_and_fit_the_view(one: Versions) -> None:
    assert (
        versions.read(versions.write(one)) == one and len(versions.write(one)) <= MAX_VERSIONS_BYTES
    )


@pytest.mark.parametrize(
    "text",
    ["", "i", "i" * 21, "i" * 23, "I" * 22, "-" * 22, "i" * 22 + "0b", "i" * 22 + "3x", "i" * 25],
)
def test_what_are_no_versions_are_none(text: str) -> None:
    assert versions.read(text) is None


def test_the_settings_digest_leaves_out_what_is_each_limiters_own() -> None:
    one = {"position": 0, "zone": "a", "tariffs": [{"name": "gold"}], "step": 1}
    other = {"step": 1, "tariffs": [{"name": "gold"}], "position": 4, "zone": "b"}
    assert (
        versions.settings_digest(one)
        == versions.settings_digest(other)
        != versions.settings_digest({**one, "step": 2})
    )


CHANGE = st.tuples(
    st.integers(0, 4),
    st.sampled_from(["", *map(versions.write, (OLD, NEW, OTHER))]),
    st.sampled_from([MemberState.ALIVE, MemberState.DEAD]),
)


@given(st.lists(CHANGE))
def test_the_newest_order_is_kept_up_record_by_record(
    changes: list[tuple[int, str, MemberState]],
) -> None:
    known, table, heard = KnownVersions(), dict[int, Versions](), dict[int, Versions]()
    for turn, (number, text, state) in enumerate(changes):
        known.note(FleetRecord(number, 1, turn, state, (), text))
        read = versions.read(text) if state == MemberState.ALIVE else None
        table.pop(number, None)
        if read:
            table[number] = read
        order = max((one.order for one in table.values()), default=0)
        assert dict(known) == table
        assert known.newest() == (
            order,
            {one.settings for one in table.values() if one.order == order},
        )
        if turn % 3 == 0:
            heard.update(known.take_changed())
            assert {n: heard[n] for n in table} == table


# Stragglers


def test_one_that_is_behind_asks_those_that_are_not_and_is_shut_out_when_nobody_gives() -> None:
    rule, known = Rule(2), {0: NEW, 1: NEW, 2: OLD}
    assert Rule(2).look(KnownVersions({2: OLD, 1: OLD}), 0.0).state == "current"
    ruling = rule.look(KnownVersions(known), 100.0)
    assert (ruling.state, ruling.shut, ruling.ask) == ("asking", False, (0, 1))
    ruling = rule.look(KnownVersions(known), 100.0 + ASK_FOR)
    assert (
        ruling.state == "shut out" and ruling.shut and ruling.ask == (0, 1)
    )  # a later giver is still welcome
    assert rule.look(KnownVersions({0: NEW, 1: NEW, 2: NEW}), 106.0).state == "current"


def test_one_that_has_just_begun_or_woken_does_not_act_on_the_old_first() -> None:
    assert Rule(2).look(KnownVersions({0: NEW, 1: NEW, 2: OLD}), 100.0, fresh=True).shut
    assert not Rule(2).look(KnownVersions({0: OLD, 1: OLD, 2: OLD}), 100.0, fresh=True).shut


def test_what_cannot_be_taken_shuts_out_at_once_and_the_next_order_is_asked_for_anew() -> None:
    rule = Rule(2)
    rule.look(KnownVersions({0: NEW, 1: NEW, 2: OLD}), 100.0)
    rule.refused(2, "plans differ")
    ruling = rule.look(KnownVersions({0: NEW, 1: NEW, 2: OLD}), 100.5)
    assert ruling.state == "shut out" and ruling.why == "plans differ"
    newer = NEW._replace(order=3)
    assert rule.look(KnownVersions({0: newer, 1: newer, 2: OLD}), 101.0).state == "asking"


@given(st.integers(1, 12), st.data())
def test_never_are_so_many_shut_out_that_too_few_serve(members: int, data: st.DataObject) -> None:
    new = data.draw(st.sets(st.integers(0, members - 1), min_size=1))
    known = {n: NEW if n in new else OLD for n in range(members)}
    serving = 0
    for number in range(members):
        rule = Rule(number)
        rule.look(KnownVersions(known), 0.0)
        serving += not rule.look(KnownVersions(known), ASK_FOR).shut
    assert serving >= FLOOR * members and serving >= len(new)


def test_one_order_with_two_meanings_shuts_nobody_out_and_is_said() -> None:
    for me, own in ((0, NEW), (1, OTHER), (2, OLD)):
        rule = Rule(me)
        for now in (0.0, ASK_FOR + 1.0):
            ruling = rule.look(KnownVersions({0: NEW, 1: OTHER, 2: own if me == 2 else OLD}), now)
            assert (
                ruling.state == "contradiction" and not ruling.shut and "2 settings" in ruling.why
            )


def test_the_operators_order_decides_and_not_the_majority() -> None:
    assert Rule(0).look(KnownVersions({0: NEW, 1: OLD, 2: OLD, 3: OLD}), 0.0).state == "current"
    back = OLD._replace(order=3)  # rolled back on purpose: the old settings under a greater order
    assert Rule(0).look(KnownVersions({0: NEW, 1: back}), 0.0).state == "asking"


def test_flapping_between_two_versions_does_not_shut_out_and_open_at_every_beat() -> None:
    rule, low, high = Rule(2), {0: OLD, 1: OLD, 2: OLD}, {0: NEW, 1: NEW, 2: OLD}
    rule.look(KnownVersions(high), 0.0)
    assert rule.look(KnownVersions(high), ASK_FOR).shut
    assert not rule.look(KnownVersions(low), ASK_FOR + 0.1).shut  # the newer order is gone again
    rule.look(KnownVersions(high), ASK_FOR + 0.2)
    rule.refused(2, "no")
    assert rule.look(KnownVersions(high), ASK_FOR + 0.3).state == "behind"
    assert rule.look(KnownVersions(high), ASK_FOR + 0.1 + STEADY).shut


# Documents

DOCUMENT = {
    "position": 3,
    "zone": "b",
    "grades": [{"name": f"class-{n}", "objective": n / 7} for n in range(60)],
}


@pytest.mark.parametrize("lose", [0.0, 0.3])
def test_a_document_comes_whole_through_loss_doubling_and_any_order(lose: float) -> None:
    chance, giver = random.Random(1), transfer.Giver(4, DOCUMENT)
    taker, got = transfer.Taker(4, giver.digest), None
    for _ in range(200):
        asked = transfer.read(taker.wants(False))
        assert isinstance(asked, transfer.Asked) and len(taker.wants(False)) <= 256
        answers = giver.answer_at_once(asked)
        for text in chance.sample([*answers, *answers], 2 * len(answers)):
            given_ = transfer.read(text)
            # room for the keyed hash
            assert isinstance(given_, transfer.Given) and len(text) <= 256 - 18
            if chance.random() >= lose and got is None:
                got = taker.take(given_)
        if got is not None:
            break
    assert got == versions.common(DOCUMENT)


def test_a_document_that_is_not_what_the_view_told_is_thrown_away() -> None:
    giver = transfer.Giver(4, DOCUMENT)
    for taker in (transfer.Taker(4, "zzzz"), transfer.Taker(5, giver.digest)):
        asked = transfer.read(taker.wants(False))
        assert isinstance(asked, transfer.Asked)
        assert [
            taker.take(given_)
            for text in giver.answer_at_once(asked)
            if isinstance(given_ := transfer.read(text), transfer.Given)
        ] in ([], [None])
    forged = transfer.Taker(4, giver.digest)
    assert forged.take(transfer.Given(4, giver.digest, 0, 1, "AAAA")) is None  # whole, and nonsense
    assert (
        isinstance(transfer.read(forged.wants(False)), transfer.Asked) and not forged._whole._texts
    )


def test_pieces_of_an_older_document_that_come_late_spoil_nothing() -> None:
    giver, older = transfer.Giver(4, DOCUMENT), transfer.Giver(3, {**DOCUMENT, "step": 2})
    taker, got = transfer.Taker(4, giver.digest), []
    for n, text in enumerate(giver.whole()):
        got.append(taker.take(transfer.Given(4, giver.digest, n, len(giver.whole()), text)))
        got.append(
            taker.take(transfer.Given(3, older.digest, 0, len(giver.whole()), older.whole()[0]))
        )
    assert [one for one in got if one] == [versions.common(DOCUMENT)]


def test_another_document_under_the_right_name_is_thrown_away() -> None:
    other = transfer.Giver(4, {"step": 2})
    taker = transfer.Taker(4, transfer.Giver(4, DOCUMENT).digest)
    assert (
        taker.take(transfer.Given(4, taker.digest, 0, len(other.whole()), other.whole()[0])) is None
        and len(other.whole()) == 1
    )


def test_a_small_text_that_would_unpack_to_a_huge_one_is_cut_off() -> None:
    import base64
    import zlib

    bomb = base64.b64encode(zlib.compress(b'{"a":"' + b"x" * (8 << 20) + b'"}', 9)).decode()
    assert transfer._unpack(bomb) is None


@pytest.mark.parametrize(
    "text",
    [
        "",
        "d1q",
        "d1q 1 1-2 3 4",
        "d1q 1 1-2 .",
        "d1n 1",
        "d1n 1 .",
        "d1n 1 a b",
        "d1g 1 ab 0-1 x .",
        "d1g 1 ab 0-1 x a b",
        "d1g 1 ab 3-2 x",
        "d1g 1 ab 1-2 " + "x" * 300,
        "d2q 1 ",
        "d1q 1 -",
        "d1q 1 " + "1-" * 20 + "1",
    ],
)
def test_what_is_no_word_about_documents_is_none(text: str) -> None:
    assert transfer.read(text) is None


# The record


def entry(
    t: float,
    member: int = 0,
    serial: int = 1,
    what: str = "settings",
    version: str = "aaaa",
    **more: Any,
) -> Entry:
    return Entry(t, member, more.pop("incarnation", 1), serial, what, version, **more)  # type: ignore[arg-type]


@given(st.integers(0, 200))
def test_a_torn_tail_is_cut_off_and_said_and_what_stands_before_it_is_good(torn: int) -> None:
    whole = [entry(1.0 + n, serial=n) for n in range(3)]
    data = b"".join(map(record.pack, whole))
    found = list(record.unpack(data[: max(0, len(data) - torn)]))
    good = [one for one in found if isinstance(one, Entry)]
    assert good == whole[: len(good)] and len(found) - len(good) == (
        0 < torn < len(data) and len(data) - torn not in _ends(whole)
    )


def _ends(whole: list[Entry]) -> set[int]:
    sizes = [len(record.pack(one)) for one in whole]
    return {sum(sizes[:n]) for n in range(len(sizes) + 1)}


def test_a_spoilt_byte_is_never_read_as_something_else() -> None:
    data = bytearray(record.pack(entry(1.0)) + record.pack(entry(2.0, serial=2)))
    data[12] ^= 0xFF
    assert [one for one in record.unpack(bytes(data)) if isinstance(one, Entry)] == []


def test_segments_are_bounded_in_size_and_number_and_a_new_life_begins_a_new_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(record, "MOST_SEGMENT", 300)
    monkeypatch.setattr(record, "MOST_SEGMENTS", 3)
    for incarnation in (1, 2):
        one = Record(4, incarnation, Segments(tmp_path, 4, incarnation))
        for n in range(30):
            one.add(float(n), "settings", "aaaa")
            one.flush()
        one.close()
    names = sorted(os.listdir(tmp_path))
    assert len(names) == 3 and all("-00000000000002-" in name for name in names)
    assert all(path.stat().st_size <= 300 for path in tmp_path.iterdir())


def test_a_disk_that_takes_nothing_costs_the_record_alone_and_memory_is_bounded(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    one = Record(4, 1, Segments(tmp_path / "absent", 4, 1))
    for n in range(record.MOST_KEPT + 10):
        one.add(float(n), "settings", "aaaa")
        if n < 3:
            one.flush()
    one.close()
    assert caplog.text.count("cannot be written") == 1 and len(one.kept) == record.MOST_KEPT


# The merge


def heard(t: float, member: int, serial: int, other: int, of: Versions) -> Entry:
    return entry(t, member, serial, "heard", versions.write(of), other=other)


def two(skew: float, lag: float, **more: Any) -> list[Entry]:
    """Member 0 takes order 2 at second 10.

    Member 1, whose clock is `skew` ahead, hears of it 0.2 s later and takes it after `lag`.
    """
    return [
        entry(1.0, 0, 1, order=1),
        entry(10.0, 0, 2, version="bbbb", order=2),
        entry(30.0, 0, 3, "second", "bbbb", order=2, counts={"requests": 5}),
        entry(1.0 + skew, 1, 1, order=1),
        heard(10.2 + skew, 1, 2, 0, NEW),
        entry(10.1 + skew + lag, 1, 3, "second", "aaaa", order=1, counts={"requests": 9}),
        entry(10.2 + skew + lag, 1, 4, version="bbbb", order=2),
        entry(30.0 + skew, 1, 5, "second", "bbbb", order=2),
    ]


def test_settings_that_are_tried_are_no_old_ones_at_others_and_count_once_they_are_in_force() -> (
    None
):
    tried = NEW._replace(candidate=Candidate(1, Phase.BAKING))
    found = merge.merged(
        [
            entry(1.0, 0, 1, order=1),
            entry(10.0, 0, 2, version="bbbb", order=2, candidate=True),
            entry(10.0, 0, 3, "rollout", "pushed", why="by an operator", order=2),
            entry(40.0, 0, 4, "rollout", "released", order=2),
            entry(40.0, 0, 5, version="bbbb", order=2),
            entry(50.0, 0, 6, "second", "bbbb", order=2, counts={"requests": 5}),
            entry(1.0, 1, 1, order=1),
            heard(10.2, 1, 2, 0, tried),
            entry(30.0, 1, 3, "second", "aaaa", order=1, counts={"requests": 9}),
            heard(40.1, 1, 4, 0, NEW),
            entry(40.3, 1, 5, version="bbbb", order=2),
            entry(50.0, 1, 6, "second", "bbbb", order=2),
        ]
    )
    assert not found.findings and not found.troubles
    (_, change) = found.changes()
    assert change["out_at"] == 40.0 and change["last_old_after_s"] == pytest.approx(0.3)
    steps = found.document()["rollout"]
    assert [(one["t"], one["member"], one["order"], one["step"]) for one in steps] == [
        (10.0, 0, 2, "pushed"),
        (40.0, 0, 2, "released"),
    ]
    assert "released" in report.page(found.document())


def test_one_that_goes_on_after_it_heard_that_they_are_in_force_is_found() -> None:
    found = merge.merged(
        [
            entry(1.0, 0, 1, order=1),
            entry(10.0, 0, 2, version="bbbb", order=2),
            entry(1.0, 1, 1, order=1),
            heard(10.2, 1, 2, 0, NEW),
            entry(30.0, 1, 3, "second", "aaaa", order=1, counts={"requests": 9}),
        ]
    )
    assert [finding.what for finding in found.findings] == ["old"]


def test_one_that_ended_by_itself_acted_on_its_settings_until_it_wrote_so() -> None:
    last_second = entry(5.0, 0, 2, "second", "aaaa", order=1, counts={"requests": 5})
    ended = entry(6.2, 0, 3, "program", "1.0", why="ended", order=1)
    began = entry(7.0, 0, 1, "program", "1.0", why="began", order=1, incarnation=2)
    found = merge.merged([entry(1.0, 0, 1, order=1), last_second, ended, began])
    assert [(span.begin, span.end) for span in found.members[0].spans] == [(1.0, 6.2)]


@pytest.mark.parametrize("skew", [-40.0, 0.0, 0.1])
def test_clocks_are_set_by_what_was_heard_and_the_last_on_the_old_is_told(skew: float) -> None:
    found = merge.merged(two(skew, 0.5))
    assert (
        found.offsets[1] == pytest.approx(max(0.0, -skew - 0.2))
        and not found.findings
        and not found.troubles
    )
    (_, change) = found.changes()
    assert change["last_old_after_s"] == pytest.approx(
        0.5 + (0.2 if skew >= 0 else 0.0) + max(skew, 0.0), abs=0.01
    )


def test_one_that_heard_and_went_on_is_found_and_one_that_was_shut_out_is_not() -> None:
    assert [(f.what, f.members) for f in merge.merged(two(0.0, 9.0)).findings] == [("old", (1,))]
    shut = two(0.0, 9.0)
    shut[5:] = [
        entry(10.4, 1, 3, "ruling", "shut out", order=1),
        entry(19.0, 1, 4, "second", "aaaa", order=1, counts={"requests": 9}),
        entry(19.2, 1, 5, version="bbbb", order=2),
        entry(30.0, 1, 6, "second", "bbbb", order=2),
    ]
    assert merge.merged(shut).findings == []
    still = two(0.0, 9.0)
    still[5] = entry(
        10.3, 1, 3, "second", "aaaa", order=1, counts={"requests": 9}
    )  # then it stood still until 19.2
    assert merge.merged(still).findings == []


def test_one_order_with_two_meanings_is_found() -> None:
    found = merge.merged(
        [entry(1.0, 0, 1, order=2, version="bbbb"), entry(2.0, 1, 1, order=2, version="cccc")]
    )
    assert [(f.what, f.members) for f in found.findings] == [("contradiction", (0, 1))]


def test_a_host_that_was_used_after_it_was_put_out_is_found() -> None:
    begin = [entry(1.0, 0, 1, order=1), entry(5.0, 0, 2, "hands", "x", hosts={"h1": 1})]
    for t, what in ((5.9, []), (8.0, ["host used"])):
        found = merge.merged(
            [*begin, entry(t, 0, 3, "second", "aaaa", order=1, hosts={"h1": 2, "h2": 9})]
        )
        assert [f.what for f in found.findings] == what
    again = [
        *begin,
        entry(6.0, 0, 1, incarnation=2, order=1),
        entry(9.0, 0, 2, "second", "aaaa", incarnation=2, order=1, hosts={"h1": 2}),
    ]
    assert merge.merged(again).findings == []  # a new incarnation says itself what is out
    back = [
        *begin,
        entry(6.0, 0, 3, "hands", "y"),
        entry(9.0, 0, 4, "second", "aaaa", order=1, hosts={"h1": 2}),
    ]
    assert merge.merged(back).findings == []


def test_clocks_that_contradict_each_other_and_missing_entries_are_said() -> None:
    apart = [
        *two(0.0, 0.5),
        heard(0.5, 0, 4, 1, NEW._replace(settings="bbbb")),
    ]  # heard before it can have been
    found = merge.merged(apart)
    assert any("one order" in text for text in found.troubles)
    gaps = merge.merged([entry(1.0, 0, 1, order=1), entry(2.0, 0, 5, version="bbbb", order=2)])
    assert gaps.troubles == ["member 0: 3 entries are missing"]


@given(st.permutations(range(2)), st.booleans())
def test_whichever_record_is_read_first_or_twice_the_order_is_the_same(
    order: list[int], twice: bool
) -> None:
    one = two(-40.0, 9.0)
    rows = [e for number in order for e in one if e.member == number]
    found = merge.merged([*rows, *(rows if twice else [])])
    assert found.document()["changes"] == merge.merged(one).document()["changes"]
    assert {f.text for f in found.findings} == {f.text for f in merge.merged(one).findings}
    assert found.document()["members"] == merge.merged(one).document()[
        "members"
    ] and found.entries == len(one)


def test_who_acted_on_what_at_a_time_is_told_or_said_to_be_unknown() -> None:
    found = merge.merged(two(0.0, 0.5))
    assert {n: span and span.order for n, span in found.at(10.3).items()} == {0: 2, 1: 1}
    assert found.at(99.0) == {0: None, 1: None}


# The command


def write(folder: Path, entries: list[Entry]) -> None:
    for one in entries:
        home = folder / f"n{one.member}"
        home.mkdir(parents=True, exist_ok=True)
        with (home / f"audit-{one.member}-{one.incarnation:014d}-0001.seg").open("ab") as out:
            out.write(record.pack(one))


@pytest.mark.parametrize(("lag", "status"), [(0.5, 0), (9.0, 1)])
def test_the_command_says_who_was_late_and_draws_it(
    lag: float, status: int, tmp_path: Path
) -> None:
    write(tmp_path, two(0.0, lag))
    (tmp_path / "n1" / "audit-1-00000000000002-0001.seg").write_bytes(b"torn")
    page = tmp_path / "page.html"
    result = CliRunner().invoke(fleet, ["audit", str(tmp_path), "--json", "-", "--html", str(page)])
    found = json.loads(result.output)
    assert (
        result.exit_code == status
        and len(found["members"]) == 2
        and any("could not be read" in text for text in found["not_known"])
    )
    text = page.read_text()
    assert (
        text.count("<rect") > 4
        and "prefers-color-scheme: dark" in text
        and ("went on" in text or status == 0 or "acted on 1" in text)
    )


def test_a_folder_without_records_is_said(tmp_path: Path) -> None:
    assert CliRunner().invoke(fleet, ["audit", str(tmp_path)]).exit_code == 2


def test_what_a_page_shows_of_others_words_is_escaped() -> None:
    found = merge.merged([entry(1.0, 0, 1, order=1, why="<script>")]).document()
    assert "<script>" not in report.page(found) and "&lt;script&gt;" in report.page(found)


def test_entries_are_read_in_each_limiters_own_order(tmp_path: Path) -> None:
    write(tmp_path, two(0.0, 0.5))
    assert [e.serial for e in files.entries(tmp_path, lambda text: None) if e.member == 1] == [
        1,
        2,
        3,
        4,
        5,
    ]


def test_what_running_limiters_tell_is_merged_and_a_request_is_found(tmp_path: Path) -> None:
    one = Record(0, 1)
    one.add(1.0, "settings", "aaaa", order=4)
    one.add(2.0, "second", "aaaa", order=4, counts={"requests": 2}, samples=["r-1", "r-2"])
    answer = json.dumps(one.last()).encode() + b"\nend\n"
    assert files.told(answer) == list(one.kept)
    write(tmp_path, files.told(answer))
    result = CliRunner().invoke(fleet, ["audit", str(tmp_path), "--request", "r-2"])
    assert (
        result.exit_code == 0
        and "member 0 decided r-2" in result.output
        and "order 4 (aaaa)" in result.output
    )
    assert CliRunner().invoke(fleet, ["audit", str(tmp_path), "--request", "r-9"]).exit_code == 2
    for wrong in (b"", b"error no call\n", b"[]\nend", b"half"):
        with pytest.raises(ValueError):
            files.told(wrong)


def test_what_is_told_of_a_long_record_is_its_end_within_a_bound() -> None:
    one = Record(0, 1)
    for n in range(record.MOST_KEPT):
        one.add(
            float(n),
            "second",
            "aaaa",
            hosts={f"s-{k}": 9 for k in range(20)},
            samples=["0" * 16] * 3,
        )
    last = one.last()
    assert last[-1][0] == record.MOST_KEPT - 1 and len(json.dumps(last)) < 1 << 20


def test_a_limiter_that_nobody_can_reach_is_said() -> None:
    result = CliRunner().invoke(fleet, ["audit", "--live", "127.0.0.1:1"])
    assert result.exit_code == 2 and "127.0.0.1:1" in result.output
    assert CliRunner().invoke(fleet, ["audit"]).exit_code == 2
