"""The incrementally updated endpoint table, compared with a simple reference table."""

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


class ReferenceTable:
    """An endpoint table that computes all values from the entries."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings, self.entries, self.incarnations = (
            settings,
            dict[str, api.EndpointEntry](),
            Counter[str](),
        )
        self.disabled: set[str] = set()

    def apply(self, event: api.EndpointsUpdated) -> None:
        if event.kind not in ("change", "failed"):
            self.entries = {
                e.name: self.entries[e.name] for e in event.entries if e.name in self.entries
            }
        for listed in event.entries:
            known = self.entries.get(listed.name)
            if listed.state == "gone":
                self.entries.pop(listed.name, None)
            else:
                self.incarnations[listed.name] += known is None or known.started != listed.started
                self.entries[listed.name] = listed

    def is_warming_up(self, listed: api.EndpointEntry, now: float) -> bool:
        return 0 < listed.started > now - self.settings.warm_up_time

    def expected_concurrency(self, listed: api.EndpointEntry) -> float:
        mean = sum(e.weight for e in self.entries.values()) / len(self.entries) or 1.0
        return max(MEAN_CONCURRENCY * listed.weight / mean, MEAN_CONCURRENCY / 4)

    def up(self) -> list[api.EndpointEntry]:
        return [e for e in self.entries.values() if e.state == "up" and e.name not in self.disabled]


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
def test_table_equals_reference_after_any_changes(
    bulk: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A `bulk` of 0 makes each list trigger a complete rebuild."""
    for module in ("endpoint_table", "endpoint_ring"):
        monkeypatch.setattr(f"hazelhollow.decisions.state.{module}.MAX_CHANGES_IN_PLACE", bulk)
    # Only five tags exist, so that several endpoints share one.
    monkeypatch.setattr("hazelhollow.decisions.state.endpoint.TAG_COUNT", 5)

    @hyp(max_examples=60, deadline=None)
    @given(steps)
    def check(events: list[tuple[str, Any]]) -> None:
        table, reference, now = (
            EndpointTable(ENGINE_SETTINGS),
            ReferenceTable(ENGINE_SETTINGS),
            100.0,
        )
        incarnations: dict[str, tuple[int, Endpoint]] = {}
        for action, argument in events:
            if action == "wait":
                now += 3.0
            elif action in ("ban", "unban"):
                table.override(argument, action == "ban", now)
                reference.disabled = (
                    reference.disabled | {argument}
                    if action == "ban"
                    else reference.disabled - {argument}
                )
            else:
                table.apply(endpoint_list(action, *argument), now)
                reference.apply(endpoint_list(action, *argument))
            assert_equal(table, reference, now)
            for name, endpoint in table.endpoints.items():  # the same object until a restart
                incarnation, before = incarnations.get(name, (0, endpoint))
                assert (endpoint is before) == (
                    incarnation == reference.incarnations[name]
                ) or not incarnation
                incarnations[name] = reference.incarnations[name], endpoint

    check()


def assert_equal(table: EndpointTable, reference: ReferenceTable, now: float) -> None:
    expected = list(reference.entries.values())
    assert [s.entry for s in table.endpoints.values()] == expected == [s.entry for s in table.all()]
    assert [s.concurrency for s in table.all()] == pytest.approx(
        [reference.expected_concurrency(e) for e in expected]
    )
    assert {s.entry.name for s in table.all_up()} == {e.name for e in reference.up()}
    warm = [
        reference.expected_concurrency(e) for e in expected if not reference.is_warming_up(e, now)
    ]
    assert table.warm_concurrency(now) == pytest.approx(sum(warm))
    for warming_up in (False, True):
        ring = sorted(
            (table.endpoints[e.name].tag, e.name)
            for e in reference.up()
            if reference.is_warming_up(e, now) == warming_up
        )
        assert table.ring(warming_up, now) == ring
    for zone in "ab":
        in_zone = {e.name for e in reference.up() if e.zone == zone}
        assert {s.entry.name for s in table.all_of(("zone", zone))} == in_zone
    tagged = {endpoint.tag: endpoint for endpoint in table.endpoints.values()}
    assert all(table.by_tag(tag) is endpoint for tag, endpoint in tagged.items())
    assert not [tag for tag in gossip._DIGITS if tag not in tagged and table.by_tag(tag)]


def test_endpoint_lists_are_cached_and_tag_order_is_updated_in_place() -> None:
    table = table_of(*endpoint_entries(200))
    assert table.all() is table.all() and table.all_up() is table.all_up()
    order = table.ring(False, 100.0)
    table.apply(endpoint_list("change", entry("new")), 100.0)
    assert table.ring(False, 100.0) is order and len(order) == 201
