"""The limiters of one process of a scale run.

`HollowFleet` owns the members of a process: it starts and ends their incarnations, sends them
their requests, and carries out the planned events. Every process receives the same events and
applies them to its own members and to its copy of the `GroundTruth`. The worker calls it.
"""

from __future__ import annotations

from array import array
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from hazelhollow.decisions import interface as api
from hazelhollow.net.scheduler import Scheduler
from hazelhollow.scale import settings
from hazelhollow.scale.agreement import GroundTruth, MembershipWatcher
from hazelhollow.scale.hollow import Incarnation, IncarnationHost, InitialSettings
from hazelhollow.scale.load import DrawnRequest, Population, Requests, Tenant, split
from hazelhollow.scale.measure import Meter, Traffic, sum_traffic
from hazelhollow.scale.messages import Job
from hazelhollow.scale.network import (
    HollowPeerSocket,
    NetworkState,
    absent_address,
    dropped_datagrams,
)
from hazelhollow.scale.results import EventKind
from hazelhollow.scale.topology import make_topology, no_cut, region_partition

LIST_CHANGE_INTERVAL_S = 1.0  # between changes to the list of servers
# From this number of limiters times routes on, the limiters of a process share one settings object
# to save memory.
SHARED_SETTINGS_FROM = 200_000
HOSTS_PER_SUBNET = 250  # values of the last octet that the limiters' addresses use
# A restart of a tenth of the fleet restarts the limiters whose number modulo the divisor equals the
# remainder, which is first reduced modulo the number of limiters that are up.
RESTART_DIVISOR = 10
RESTART_REMAINDER = 3
CONFIGURATION_EVENTS = (EventKind.CONFIGURATION_WHOLE, EventKind.CONFIGURATION_ONE_ROUTE)


class Member:
    """One limiter through all its incarnations, and the observations of its agreement.

    Attributes:
        incarnation: The incarnation that runs; None while the limiter is down.
        incarnations: Number of incarnations created so far.
        settings_applied_at: When it last applied settings, in Unix seconds; None if it has applied
            none since the latest event.
    """

    def __init__(
        self, number: int, peers: HollowPeerSocket, watcher: MembershipWatcher, requests: Requests
    ) -> None:
        self.number, self.peers, self.watcher, self.requests = number, peers, watcher, requests
        self.incarnation: Incarnation | None = None
        self.incarnations = 0
        self.settings_applied_at: float | None = None


class HollowFleet:
    """The limiters of one process. `begin` starts the run, `end_incarnations` and `close` end it.

    Args:
        job: The process's part of the point.
        population: All tenants of the run.
        scheduler: The scheduler of the process.
        meter: The meter of the process.
        current_second: Returns the second of the current window, for bytes by second.

    Attributes:
        rows: Four numbers for each request: seconds since the run began, tenant, units, and whether
            it was admitted.
    """

    def __init__(
        self,
        job: Job,
        population: Population,
        scheduler: Scheduler,
        meter: Meter,
        current_second: Callable[[], int],
    ) -> None:
        self._job, self._population = job, population
        self._scheduler, self._meter = scheduler, meter
        self.network = NetworkState(meter)
        self.truth = GroundTruth(job.size.limiters)
        self.rows = array("d")
        self.shares_settings = len(job.here) * job.size.routes >= SHARED_SETTINGS_FROM
        self._topology = make_topology(job.size.limiters, job.fleet)
        self._servers = settings.servers(job.size, job.fleet)
        self._document = settings.document(job.size, population.quotas, job.fleet)
        self._revision = 0
        self._shared_settings: InitialSettings | None = None
        self._run_start = 0.0
        self._played = set[int]()
        self.members = dict(self._make_members(current_second))
        self._first_incarnations = {
            number: self._make_incarnation(member) for number, member in self.members.items()
        }

    def _make_members(self, current_second: Callable[[], int]) -> Iterator[tuple[int, Member]]:
        job = self._job
        parts = split(self._population, job.here, job.size.limiters)
        for ordinal, number in enumerate(job.here):
            address = (
                f"{job.net}.{1 + ordinal // HOSTS_PER_SUBNET}.{1 + ordinal % HOSTS_PER_SUBNET}"
            )
            peers = HollowPeerSocket(
                self._scheduler, self.network, number, (address, 0), current_second
            )
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

    def begin(self, addresses: dict[int, tuple[str, int]], run_start: float) -> None:
        """Configures the peer addresses of all members and starts receiving datagrams.

        Args:
            addresses: Addresses of all limiters that are played, by number.
            run_start: When the run begins, in Unix seconds.
        """
        self._run_start, self._played = run_start, set(addresses)
        self.truth.up_since = dict.fromkeys(self._played, run_start)
        all_addresses = {
            n: addresses.get(n) or absent_address(n) for n in range(self._job.size.limiters)
        }
        for number, member in self.members.items():
            for other, address in all_addresses.items():
                if other != number:
                    member.peers.set_address(other, address)
            self._scheduler.spawn_supervised(member.peers.run, "peers")

    def _at(self, at_s: float, call: Callable[..., object], *args: Any) -> None:
        self._scheduler.at(self._run_start + at_s, call, *args)

    # Incarnations

    def start_at(self, number: int, at_s: float) -> None:
        """Schedules a member's first incarnation, and its requests from the run's start on."""
        member = self.members[number]
        self._at(at_s, self._start, member, self._first_incarnations.pop(number))
        requests = iter(member.requests)
        first = next(requests, None)
        if first:
            self._at(first.at, self._on_arrival, member, requests, first)

    def on_process_pause(self) -> None:
        """Notifies each limiter that the process was paused, as its own scheduler would."""
        for member in self.members.values():
            if member.incarnation and member.incarnation.scheduler.on_process_pause:
                member.incarnation.scheduler.on_process_pause()

    def _initial_settings(self, number: int) -> InitialSettings:
        document = settings.own_document(self._document, number, self._topology)
        if not self.shares_settings:
            return InitialSettings(document, self._revision)
        if self._shared_settings is None or self._shared_settings.revision != self._revision:
            self._shared_settings = InitialSettings(document, self._revision)
        own = {"limiter_id": number, "zone": document["zone"]}
        parsed = _copy_with(self._shared_settings.settings, own)
        return InitialSettings(document, self._revision, parsed)

    def _make_incarnation(self, member: Member) -> Incarnation:
        member.incarnations += 1
        # Unlike the hash of a string, that of integers is the same in every process.
        seed = hash((self._job.seed, member.number, member.incarnations))
        host = IncarnationHost(
            self._scheduler,
            self._meter,
            member.peers,
            member.watcher.record_changed,
            self._settings_applied,
        )
        return Incarnation(host, self._initial_settings(member.number), self._job.fleet, seed)

    def _start(self, member: Member, incarnation: Incarnation | None = None) -> None:
        member.incarnation = incarnation or self._make_incarnation(member)
        member.incarnation.start(self._servers)
        self._schedule_list_change(member, member.incarnation, 0)

    def _schedule_list_change(self, member: Member, incarnation: Incarnation, change: int) -> None:
        due = self._scheduler.clock() + LIST_CHANGE_INTERVAL_S
        self._scheduler.at(due, self._change_list, member, incarnation, change)

    def _change_list(self, member: Member, incarnation: Incarnation, change: int) -> None:
        """Sets one server to draining or back to up; does nothing if the incarnation has ended."""
        if member.incarnation is not incarnation:
            return
        server = self._servers[change // 2 % len(self._servers)]
        entry = _copy_with(server, {"state": "up" if change % 2 else "draining"})
        incarnation.update_servers(api.EndpointsUpdated("change", (entry,)))
        self._schedule_list_change(member, incarnation, change + 1)

    # Requests

    def _on_arrival(
        self, member: Member, requests: Iterator[DrawnRequest], drawn: DrawnRequest
    ) -> None:
        if member.incarnation:
            self._submit(member.incarnation, drawn)
        next_request = next(requests, None)
        if next_request:
            self._at(next_request.at, self._on_arrival, member, requests, next_request)

    def _submit(self, incarnation: Incarnation, drawn: DrawnRequest) -> None:
        tenant = self._population.tenants[drawn.tenant]
        request = api.RequestArrived(
            incarnation.next_request_id(),
            settings.route_name(drawn.route),
            self._population.quotas[tenant.quota].name,
            tenant.name,
            float(drawn.units),
            settings.DEADLINE_S,
            tenant.first,
            tenant.spread,
        )
        at = self._scheduler.clock() - self._run_start
        self.rows.extend((at, drawn.tenant, drawn.units, incarnation.submit(request)))

    def request_for_every_tenant(self, overdue: Callable[[], bool]) -> None:
        """Sends one request of each tenant to each of its limiters, as fast as possible.

        Stops early once `overdue` returns true, or at a limiter that is down.
        """
        for member in self.members.values():
            for tenant in member.requests.tenants:
                if overdue() or member.incarnation is None:
                    return
                self._submit(member.incarnation, _first_request(tenant, self._job.size.routes))

    def refusals(self) -> dict[str, int]:
        """Returns the rejections of all running incarnations by reason."""
        counts = Counter[str]()
        for member in self.members.values():
            if member.incarnation:
                counts.update(member.incarnation.stats.refusals)
        return dict(counts)

    # Events

    def apply_event(self, kind: EventKind, at_s: float) -> None:
        """Carries out an event and resets the measurements of its window.

        Every process applies the same event. The measurements that it resets are the bytes by
        second and each member's agreement.

        Args:
            kind: The event.
            at_s: When it is planned, in seconds since the run began.
        """
        for member in self.members.values():
            member.peers.bytes_by_second.clear()
            member.settings_applied_at = None
        self._apply(kind, at_s)
        for member in self.members.values():
            if member.incarnation and member.incarnation.membership:
                member.watcher.reset(member.incarnation.membership.membership.table)

    def _apply(self, kind: EventKind, at_s: float) -> None:
        up = set(self.truth.up_since)
        if kind is EventKind.RESTART_TENTH:
            self._restart(
                {n for n in up if n % RESTART_DIVISOR == RESTART_REMAINDER % len(up)}, at_s
            )
        elif kind is EventKind.RACK_LOST:
            rack = self._topology.rack(self._job.size.limiters // 3)
            self._crash({n for n in up if self._topology.rack(n) == rack})
        elif kind is EventKind.ZONE_LOST:
            self._crash({n for n in up if self._topology.zone(n) == self._topology.zones - 1})
        elif kind is EventKind.ZONE_BACK:
            self._restart_all_down(at_s)
        elif kind is EventKind.REGION_CUT:
            self.truth.is_cut = self.network.is_cut = region_partition(self._topology, 0)
        elif kind is EventKind.REGION_HEALED:
            self.truth.is_cut = self.network.is_cut = no_cut
        elif kind in CONFIGURATION_EVENTS:
            self._change_configuration(kind)

    def _restart(self, numbers: set[int], at_s: float) -> None:
        restart_at_s = at_s + self._job.fleet.restart_s
        for number in numbers:
            self.truth.up_since[number] = self._run_start + restart_at_s
            member = self.members.get(number)
            if member and member.incarnation:
                member.incarnation.leave()
                member.incarnation = None
                self._at(restart_at_s, self._start, member)

    def _crash(self, numbers: set[int]) -> None:
        for number in numbers:
            del self.truth.up_since[number]
            member = self.members.get(number)
            if member and member.incarnation:
                member.incarnation.crash()
                member.incarnation = None

    def _restart_all_down(self, at_s: float) -> None:
        """Starts all limiters that are down; the event's planned time counts as their start."""
        for number in self._played - set(self.truth.up_since):
            self.truth.up_since[number] = self._run_start + at_s
            if number in self.members:
                self._start(self.members[number])

    def _change_configuration(self, kind: EventKind) -> None:
        """Changes the settings at one limiter, as an operator would; the others must adopt them."""
        self._revision += 1
        routes = range(self._job.size.routes) if kind is EventKind.CONFIGURATION_WHOLE else (0,)
        self._document = settings.changed(self._document, routes, self._revision)
        origin = self.members.get(min(self.truth.up_since))
        if origin and origin.incarnation:
            document = settings.own_document(self._document, origin.number, self._topology)
            origin.incarnation.change_settings(document, self._revision)

    def _settings_applied(self, number: int) -> None:
        self.members[number].settings_applied_at = self._scheduler.clock()

    # Observations

    def seconds_until_agreed(self, kind: EventKind, at_s: float) -> list[float | None]:
        """Returns, for each member that is up, the seconds from the event until it agreed for good.

        A member that does not agree has None.
        """
        up = [member for member in self.members.values() if member.incarnation]
        agreement_times = [
            member.settings_applied_at
            if kind in CONFIGURATION_EVENTS
            else member.watcher.agreed_since
            for member in up
        ]
        return [
            None if time is None else max(0.0, time - self._run_start - at_s)
            for time in agreement_times
        ]

    def traffic(self) -> Traffic:
        """Returns the bytes sent since the last event."""
        return sum_traffic(member.peers.bytes_by_second for member in self.members.values())

    def falsely_dead(self) -> list[int]:
        """Returns the limiters that members here falsely considered dead since the last event."""
        up = [member for member in self.members.values() if member.incarnation]
        return sorted(set().union(*(member.watcher.falsely_dead for member in up)))

    # End of the run

    def end_incarnations(self) -> None:
        """Ends all incarnations, so that no more datagrams are sent."""
        for member in self.members.values():
            if member.incarnation:
                member.incarnation.crash()

    def dropped_datagrams(self) -> int:
        """Returns how many datagrams the system dropped at the members' sockets; raises OSError."""
        return dropped_datagrams({member.peers.inode() for member in self.members.values()})

    def close(self) -> None:
        """Closes all sockets."""
        for member in self.members.values():
            member.peers.close()


def _first_request(tenant: Tenant, routes: int) -> DrawnRequest:
    return DrawnRequest(0.0, tenant.number, tenant.number % routes, 1)


def _copy_with(record: Any, values: dict[str, Any]) -> Any:
    """Returns a copy of a frozen dataclass with some values replaced, without its checks.

    The constructor's checks of settings with many routes take long, and the original has passed
    them.
    """
    copy = object.__new__(type(record))
    copy.__dict__.update(record.__dict__ | values)
    return copy
