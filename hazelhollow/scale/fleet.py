"""The limiters of one process: their incarnations, their requests, and what happens to them."""

from __future__ import annotations

from array import array
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from hazelhollow.decisions import interface as api
from hazelhollow.net.scheduler import Scheduler
from hazelhollow.scale import settings
from hazelhollow.scale.agreement import GroundTruth, MembershipWatcher
from hazelhollow.scale.hollow import Incarnation, InitialSettings
from hazelhollow.scale.load import DrawnRequest, Population, Requests, Tenant, split
from hazelhollow.scale.measure import Meter, Traffic, sum_traffic
from hazelhollow.scale.messages import Job
from hazelhollow.scale.network import HollowPeerSocket, NetworkState, absent_address, dropped
from hazelhollow.scale.results import EventKind
from hazelhollow.scale.topology import make_topology, no_cut, region_partition

LIST_CHANGE_INTERVAL_S = 1.0  # between changes of the list of servers
# limiters times routes from which the limiters of a process share one settings object
SHARED_SETTINGS_FROM = 200_000
HOSTS_PER_SUBNET = 250  # last numbers of addresses that are used
RESTARTED_LAST_DIGIT = 3  # last digit of the numbers that restart
TENTH = 10
CONFIGURATION_EVENTS = (EventKind.CONFIGURATION_WHOLE, EventKind.CONFIGURATION_ONE_ROUTE)


class Member:
    """One limiter through all its incarnations, and what is known of its view."""

    def __init__(
        self, number: int, peers: HollowPeerSocket, watcher: MembershipWatcher, requests: Requests
    ) -> None:
        self.number, self.peers, self.watcher, self.requests = number, peers, watcher, requests
        self.incarnation: Incarnation | None = None
        self.incarnations = 0
        self.acts_on: float | None = None  # since when it acts on the order that is watched for


class HollowFleet:
    """`second`: of the window that is watched now, for bytes by second.

    The run begins with `begin`.
    """

    def __init__(
        self,
        job: Job,
        population: Population,
        scheduler: Scheduler,
        meter: Meter,
        second: Callable[[], int],
    ) -> None:
        self._job, self._population, self._scheduler, self._meter = (
            job,
            population,
            scheduler,
            meter,
        )
        self.wire = NetworkState(meter)
        self.truth = GroundTruth(job.size.limiters)
        # of each request: seconds into the run, tenant, units, whether it was let in
        self.rows = array("d")
        self.shares_settings = len(job.here) * job.size.routes >= SHARED_SETTINGS_FROM
        self._topology = make_topology(job.size.limiters, job.fleet)
        self._servers = settings.servers(job.size, job.fleet)
        self._document = settings.document(job.size, population.quotas, job.fleet)
        self._order = 0
        self._shared_settings: InitialSettings | None = None
        self._began = 0.0
        self._played = set[int]()
        self.members = dict(self._build(second))
        self._first_incarnations = {
            number: self._prepare(one) for number, one in self.members.items()
        }

    def _build(self, second: Callable[[], int]) -> Iterator[tuple[int, Member]]:
        job = self._job
        parts = split(self._population, job.here, job.size.limiters)
        for place, number in enumerate(job.here):
            address = f"{job.net}.{1 + place // HOSTS_PER_SUBNET}.{1 + place % HOSTS_PER_SUBNET}"
            peers = HollowPeerSocket(self._scheduler, self.wire, number, (address, 0), second)
            requests = Requests(parts[number], job.size.routes, number, job.seed)
            yield (
                number,
                Member(
                    number,
                    peers,
                    MembershipWatcher(number, self.truth, self._scheduler.clock),
                    requests,
                ),
            )

    def begin(self, addresses: dict[int, tuple[str, int]], began: float) -> None:
        """All addresses are known, and when the run begins."""
        self._began, self._played = began, set(addresses)
        self.truth.up_since = dict.fromkeys(self._played, began)
        everybody = {
            n: addresses.get(n) or absent_address(n) for n in range(self._job.size.limiters)
        }
        for number, one in self.members.items():
            for other, address in everybody.items():
                if other != number:
                    one.peers.set_address(other, address)
            self._scheduler.spawn_supervised(one.peers.run, "peers")

    def _at(self, at_s: float, call: Callable[..., object], *args: Any) -> None:
        self._scheduler.at(self._began + at_s, call, *args)

    # Lives

    def start_at(self, number: int, at_s: float) -> None:
        """Its first incarnation, and its requests from the begin of the run on."""
        one = self.members[number]
        self._at(at_s, self._start, one, self._first_incarnations.pop(number))
        coming = iter(one.requests)
        first = next(coming, None)
        if first:
            self._at(first.at, self._arrive, one, coming, first)

    def on_process_pause(self) -> None:
        """As each limiter's own scheduler would have told it."""
        for one in self.members.values():
            if one.incarnation and one.incarnation.scheduler.on_process_pause:
                one.incarnation.scheduler.on_process_pause()

    def _initial_settings(self, number: int) -> InitialSettings:
        document = settings.own_document(self._document, number, self._topology)
        if not self.shares_settings:
            return InitialSettings(document, self._order)
        if self._shared_settings is None or self._shared_settings.order != self._order:
            self._shared_settings = InitialSettings(document, self._order)
        own = {"limiter_id": number, "zone": document["zone"]}
        return InitialSettings(document, self._order, _replace(self._shared_settings.settings, own))

    def _prepare(self, one: Member) -> Incarnation:
        one.incarnations += 1
        # of numbers: the same in every process
        seed = hash((self._job.seed, one.number, one.incarnations))
        return Incarnation(
            self._scheduler,
            self._meter,
            one.peers,
            self._initial_settings(one.number),
            self._job.fleet,
            seed,
            one.watcher.saw,
            self._acts_on,
        )

    def _start(self, one: Member, incarnation: Incarnation | None = None) -> None:
        one.incarnation = incarnation or self._prepare(one)
        one.incarnation.start(self._servers)
        self._scheduler.at(
            self._scheduler.clock() + LIST_CHANGE_INTERVAL_S,
            self._change_list,
            one,
            one.incarnation,
            0,
        )

    def _change_list(self, one: Member, incarnation: Incarnation, change: int) -> None:
        """One server drains, or is back."""
        if one.incarnation is not incarnation:
            return
        server = self._servers[change // 2 % len(self._servers)]
        entry = _replace(server, {"state": "up" if change % 2 else "draining"})
        incarnation.list_servers(api.EndpointsUpdated("change", (entry,)))
        self._scheduler.at(
            self._scheduler.clock() + LIST_CHANGE_INTERVAL_S,
            self._change_list,
            one,
            incarnation,
            change + 1,
        )

    # Requests

    def _arrive(self, one: Member, coming: Iterator[DrawnRequest], drawn: DrawnRequest) -> None:
        if one.incarnation:
            self._ask(one.incarnation, drawn)
        following = next(coming, None)
        if following:
            self._at(following.at, self._arrive, one, coming, following)

    def _ask(self, incarnation: Incarnation, drawn: DrawnRequest) -> None:
        tenant = self._population.tenants[drawn.tenant]
        request = api.RequestArrived(
            incarnation.next_id(),
            settings.route_name(drawn.route),
            self._population.quotas[tenant.quota].name,
            tenant.name,
            float(drawn.units),
            settings.DEADLINE_S,
            tenant.first,
            tenant.spread,
        )
        at = self._scheduler.clock() - self._began
        self.rows.extend((at, drawn.tenant, drawn.units, incarnation.ask(drawn, request)))

    def ask_for_all(self, overdue: Callable[[], bool]) -> None:
        """Each tenant of each limiter once, as fast as it goes.

        Not to the end where that is overdue.
        """
        for one in self.members.values():
            for tenant in one.requests.tenants:
                if overdue() or one.incarnation is None:
                    return
                self._ask(one.incarnation, _first_request(tenant, self._job.size.routes))

    def refusals(self) -> dict[str, int]:
        """Of the incarnations that go on, by reason."""
        found = Counter[str]()
        for one in self.members.values():
            if one.incarnation:
                found.update(one.incarnation.stats.refusals)
        return dict(found)

    # Events

    def happen(self, kind: EventKind, at_s: float) -> None:
        """What is planned for that second of the run, the same in every process.

        What was counted before is forgotten.
        """
        for one in self.members.values():
            one.peers.bytes_by_second.clear()
            one.acts_on = None
        self._happen(kind, at_s)
        for one in self.members.values():
            if one.incarnation and one.incarnation.fleet:
                one.watcher.look(one.incarnation.fleet.membership.table)

    def _happen(self, kind: EventKind, at_s: float) -> None:
        up = set(self.truth.up_since)
        if kind is EventKind.RESTART_TENTH:
            self._restart({n for n in up if n % TENTH == RESTARTED_LAST_DIGIT % len(up)}, at_s)
        elif kind is EventKind.RACK_LOST:
            rack = self._topology.rack(self._job.size.limiters // 3)
            self._lose({n for n in up if self._topology.rack(n) == rack})
        elif kind is EventKind.ZONE_LOST:
            self._lose({n for n in up if self._topology.zone(n) == self._topology.zones - 1})
        elif kind is EventKind.ZONE_BACK:
            self._restart_all_down(at_s)
        elif kind is EventKind.REGION_CUT:
            self.truth.cut = self.wire.cut = region_partition(self._topology, 0)
        elif kind is EventKind.REGION_HEALED:
            self.truth.cut = self.wire.cut = no_cut
        elif kind in CONFIGURATION_EVENTS:
            self._configure(kind)

    def _restart(self, numbers: set[int], at_s: float) -> None:
        back_s = at_s + self._job.fleet.restart_s
        for number in numbers:
            self.truth.up_since[number] = self._began + back_s
            one = self.members.get(number)
            if one and one.incarnation:
                one.incarnation.leave()
                one.incarnation = None
                self._at(back_s, self._start, one)

    def _lose(self, numbers: set[int]) -> None:
        for number in numbers:
            del self.truth.up_since[number]
            one = self.members.get(number)
            if one and one.incarnation:
                one.incarnation.crash()
                one.incarnation = None

    def _restart_all_down(self, at_s: float) -> None:
        """All that are down.

        Since when they are up is what was planned, the same in every process.
        """
        for number in self._played - set(self.truth.up_since):
            self.truth.up_since[number] = self._began + at_s
            if number in self.members:
                self._start(self.members[number])

    def _configure(self, kind: EventKind) -> None:
        """One limiter's operator changes the settings, and the others are to follow."""
        self._order += 1
        routes = range(self._job.size.routes) if kind is EventKind.CONFIGURATION_WHOLE else (0,)
        self._document = settings.changed(self._document, routes, self._order)
        origin = self.members.get(min(self.truth.up_since))
        if origin and origin.incarnation:
            document = settings.own_document(self._document, origin.number, self._topology)
            origin.incarnation.order_settings(document, self._order)

    def _acts_on(self, number: int) -> None:
        self.members[number].acts_on = self._scheduler.clock()

    # What was seen

    def until(self, kind: EventKind, at_s: float) -> list[float | None]:
        """Seconds of each member that is up from the event until it was right for good."""
        up = [one for one in self.members.values() if one.incarnation]
        moments = [
            one.acts_on if kind in CONFIGURATION_EVENTS else one.watcher.right_since for one in up
        ]
        return [
            None if moment is None else max(0.0, moment - self._began - at_s) for moment in moments
        ]

    def traffic(self) -> Traffic:
        """Since the last event."""
        return sum_traffic(one.peers.bytes_by_second for one in self.members.values())

    def falsely_dead(self) -> list[int]:
        """Members that some other here held dead without cause."""
        up = [one for one in self.members.values() if one.incarnation]
        return sorted(set().union(*(one.watcher.falsely_dead for one in up)))

    # Its end

    def silence(self) -> None:
        """Nobody says anything more."""
        for one in self.members.values():
            if one.incarnation:
                one.incarnation.crash()

    def dropped(self) -> int:
        """Datagrams that the system has dropped at these sockets; raises OSError."""
        return dropped({one.peers.inode() for one in self.members.values()})

    def close(self) -> None:
        """No socket is left."""
        for one in self.members.values():
            one.peers.close()


def _first_request(tenant: Tenant, routes: int) -> DrawnRequest:
    return DrawnRequest(0.0, tenant.number, tenant.number % routes, 1)


def _replace(record: Any, values: dict[str, Any]) -> Any:
    """A frozen record with other values, without what its constructor checks.

    Which takes long for many routes.
    """
    other = object.__new__(type(record))
    other.__dict__.update(record.__dict__ | values)
    return other
