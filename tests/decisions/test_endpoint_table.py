"""The endpoint table, kept up change by change, against a plain one."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hyp
from hypothesis import strategies as st

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.gossip import codec as gossip
from hazelhollow.decisions.state.endpoint import MEAN_CONCURRENCY, Endpoint
from hazelhollow.decisions.state.endpoint_table import EndpointTable
from tests.decisions.helpers import (
    ENGINE_SETTINGS,
    endpoint_entries,
    endpoint_list,
    entry,
    table_of,
)


class PlainTable:
    """The list as it was kept: every change a pass over all endpoints."""

    def __init__(self, told: api.Settings) -> None:
        self.told, self.entries, self.incarnations = (
            told,
            dict[str, api.EndpointEntry](),
            Counter[str](),
        )
        self.banned: set[str] = set()

    def apply(self, event: api.EndpointsUpdated) -> None:
        if event.kind not in ("change", "failed"):
            self.entries = {
                e.name: self.entries[e.name] for e in event.entries if e.name in self.entries
            }
        for one in event.entries:
            known = self.entries.get(one.name)
            if one.state == "gone":
                self.entries.pop(one.name, None)
            else:
                self.incarnations[one.name] += known is None or known.started != one.started
                self.entries[one.name] = one

    def cold(self, one: api.EndpointEntry, now: float) -> bool:
        return 0 < one.started > now - self.told.warm_up_time

    def width(self, one: api.EndpointEntry) -> float:
        mean = sum(e.weight for e in self.entries.values()) / len(self.entries) or 1.0
        return max(MEAN_CONCURRENCY * one.weight / mean, MEAN_CONCURRENCY / 4)

    def up(self) -> list[api.EndpointEntry]:
        return [e for e in self.entries.values() if e.state == "up" and e.name not in self.banned]


names = st.integers(0, 9).map(lambda n: f"s{n}")


entries = st.builds(
    api.EndpointEntry,
    names,
    st.sampled_from(["up", "up", "draining", "gone"]),
    st.sampled_from("ab"),
    st.integers(0, 1),
    st.sampled_from([0.1, 1.0, 2.0]),
    st.sampled_from([0.0, 50.0, 95.0, 104.0]),
)


steps = st.lists(
    st.one_of(
        st.tuples(
            st.sampled_from(["full", "cached", "change", "failed"]), st.lists(entries, max_size=9)
        ),
        st.tuples(st.sampled_from(["ban", "unban", "wait"]), names),
    ),
    max_size=14,
)


@pytest.mark.parametrize("bulk", [0, 64])
def test_the_table_is_what_a_look_at_all_endpoints_says(
    bulk: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """`bulk` 0: each list is taken as one that changes much."""
    for module in ("endpoint_table", "endpoint_ring"):
        monkeypatch.setattr(f"hazelhollow.decisions.state.{module}.MAX_CHANGES_IN_PLACE", bulk)
    # so that names in messages collide
    monkeypatch.setattr("hazelhollow.decisions.state.endpoint.TAG_COUNT", 5)

    @hyp(max_examples=60, deadline=None)
    @given(steps)
    def check(some: list[tuple[str, Any]]) -> None:
        table, plain, now = EndpointTable(ENGINE_SETTINGS), PlainTable(ENGINE_SETTINGS), 100.0
        incarnations: dict[str, tuple[int, Endpoint]] = {}
        for what, words in some:
            if what == "wait":
                now += 3.0
            elif what in ("ban", "unban"):
                table.override(words, what == "ban", now)
                plain.banned = plain.banned | {words} if what == "ban" else plain.banned - {words}
            else:
                table.apply(endpoint_list(what, *words), now)
                plain.apply(endpoint_list(what, *words))
            same_as(table, plain, now)
            for name, endpoint in table.endpoints.items():  # the same one until it has started anew
                incarnation, before = incarnations.get(name, (0, endpoint))
                assert (endpoint is before) == (
                    incarnation == plain.incarnations[name]
                ) or not incarnation
                incarnations[name] = plain.incarnations[name], endpoint

    check()


def same_as(table: EndpointTable, plain: PlainTable, now: float) -> None:
    known = list(plain.entries.values())
    assert [s.entry for s in table.endpoints.values()] == known == [s.entry for s in table.all()]
    assert [s.concurrency for s in table.all()] == pytest.approx([plain.width(e) for e in known])
    assert {s.entry.name for s in table.all_up()} == {e.name for e in plain.up()}
    warm = [plain.width(e) for e in known if not plain.cold(e, now)]
    assert table.warm_concurrency(now) == pytest.approx(sum(warm))
    for cold in (False, True):
        ring = sorted(
            (table.endpoints[e.name].tag, e.name) for e in plain.up() if plain.cold(e, now) == cold
        )
        assert table.ring(cold, now) == ring
    for zone in "ab":
        in_zone = {e.name for e in plain.up() if e.zone == zone}
        assert {s.entry.name for s in table.all_of(("zone", zone))} == in_zone
    tagged = {endpoint.tag: endpoint for endpoint in table.endpoints.values()}
    assert all(table.by_tag(tag) is endpoint for tag, endpoint in tagged.items())
    assert not [tag for tag in gossip._DIGITS if tag not in tagged and table.by_tag(tag)]


def test_lists_of_endpoints_are_cached_until_a_change_and_the_order_of_tags_beyond_it() -> None:
    table = table_of(*endpoint_entries(200))
    assert table.all() is table.all() and table.all_up() is table.all_up()
    order = table.ring(False, 100.0)
    table.apply(endpoint_list("change", entry("new")), 100.0)
    assert table.ring(False, 100.0) is order and len(order) == 201
