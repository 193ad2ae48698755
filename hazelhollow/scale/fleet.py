"""The limiters of one process of a scale run.

`HollowFleet` owns the members of its process: it starts and ends their incarnations, sends them
their requests, and carries out the planned events. Events are the same in every process; each
process applies them to its own members and to its copy of the `GroundTruth`. The worker calls it.
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

LIST_CHANGE_INTERVAL_S = 1.0  # between changes of the list of servers
# Limiters times routes from which the limiters of a process share one settings object, to save
# memory.
SHARED_SETTINGS_FROM = 200_000
HOSTS_PER_SUBNET = 250  # last numbers that the limiters' addresses use
RESTART_DIVISOR = 10  # one limiter in so many restarts,
RESTART_REMAINDER = 3  # those whose numbers leave this remainder
CONFIGURATION_EVENTS = (EventKind.CONFIGURATION_WHOLE, EventKind.CONFIGURATION_ONE_ROUTE)


class Member:
    """One limiter through all its incarnations, and how it was seen to agree.

    Attributes:
        incarnation: The one that runs; None while the limiter is down.
        incarnations: How many have been created.
        acts_on: When it applied the latest settings, in Unix seconds; None: not since the event.
    """

    def __init__(
        self, number: int, peers: HollowPeerSocket, watcher: MembershipWatcher, requests: Requests
    ) -> None:
        self.number, self.peers, self.watcher, self.requests = number, peers, watcher, requests
        self.incarnation: Incarnation | None = None
        self.incarnations = 0
        self.acts_on: float | None = None


class HollowFleet:
    """The limiters of one process. `begin` starts the run, `silence` and `close` end it.

    Args:
        job: The process's part of the point.
        population: All tenants of the run.
        scheduler: Of the process.
        meter: Of the process.
        current_second: The second of the present window, for bytes by second.

    Attributes:
        rows: Of each request: seconds since the run began, tenant, units, whether it was admitted.
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
        self._order = 0
        self._shared_settings: InitialSettings | None = None
        self._began = 0.0
        self._played = set[int]()
        self.members = dict(self._make_members(current_second))
        self._first_incarnations = {
            number: self._make_incarnation(member) for number, member in self.members.items()
        }

    def _make_members(self, current_second: Callable[[], int]) -> Iterator[tuple[int, Member]]:
        job = self._job
        parts = split(self._population, job.here, job.size.limiters)
        for place, number in enumerate(job.here):
            address = f"{job.net}.{1 + place // HOSTS_PER_SUBNET}.{1 + place % HOSTS_PER_SUBNET}"
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

    def begin(self, addresses: dict[int, tuple[str, int]], began: float) -> None:
        """Connects the members and starts the run's clock.

        Args:
            addresses: Of all limiters that are played, by number.
            began: When the run begins, in Unix seconds.
        """
        self._began, self._played = began, set(addresses)
        self.truth.up_since = dict.fromkeys(self._played, began)
        all_addresses = {
            n: addresses.get(n) or absent_address(n) for n in range(self._job.size.limiters)
        }
        for number, member in self.members.items():
            for other, address in all_addresses.items():
                if other != number:
                    member.peers.set_address(other, address)
            self._scheduler.spawn_supervised(member.peers.run, "peers")

    def _at(self, at_s: float, call: Callable[..., object], *args: Any) -> None:
        self._scheduler.at(self._began + at_s, call, *args)

    # Incarnations

    def start_at(self, number: int, at_s: float) -> None:
        """Schedules a member's first incarnation, and its requests from the start of the run on."""
        member = self.members[number]
        self._at(at_s, self._start, member, self._first_incarnations.pop(number))
        requests = iter(member.requests)
        first = next(requests, None)
        if first:
            self._at(first.at, self._arrive, member, requests, first)

    def on_process_pause(self) -> None:
        """Notifies each limiter that the process was paused, as a scheduler of its own would."""
        for member in self.members.values():
            if member.incarnation and member.incarnation.scheduler.on_process_pause:
                member.incarnation.scheduler.on_process_pause()

    def _initial_settings(self, number: int) -> InitialSettings:
        document = settings.own_document(self._document, number, self._topology)
        if not self.shares_settings:
            return InitialSettings(document, self._order)
        if self._shared_settings is None or self._shared_settings.order != self._order:
            self._shared_settings = InitialSettings(document, self._order)
        own = {"limiter_id": number, "zone": document["zone"]}
        parsed = _replace(self._shared_settings.settings, own)
        return InitialSettings(document, self._order, parsed)

    def _make_incarnation(self, member: Member) -> Incarnation:
        member.incarnations += 1
        # A hash of integers is the same in every process.
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
        """One server starts draining, or is back; an incarnation that has ended gets no news."""
        if member.incarnation is not incarnation:
            return
        server = self._servers[change // 2 % len(self._servers)]
        entry = _replace(server, {"state": "up" if change % 2 else "draining"})
        incarnation.update_servers(api.EndpointsUpdated("change", (entry,)))
        self._schedule_list_change(member, incarnation, change + 1)

    # Requests

    def _arrive(
        self, member: Member, requests: Iterator[DrawnRequest], drawn: DrawnRequest
    ) -> None:
        if member.incarnation:
            self._submit(member.incarnation, drawn)
        following = next(requests, None)
        if following:
            self._at(following.at, self._arrive, member, requests, following)

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
        at = self._scheduler.clock() - self._began
        self.rows.extend((at, drawn.tenant, drawn.units, incarnation.submit(request)))

    def request_for_every_tenant(self, overdue: Callable[[], bool]) -> None:
        """Sends one request of each tenant to each of its limiters, as fast as possible.

        Stops early when `overdue` says so, or at a limiter that is down.
        """
        for member in self.members.values():
            for tenant in member.requests.tenants:
                if overdue() or member.incarnation is None:
                    return
                self._submit(member.incarnation, _first_request(tenant, self._job.size.routes))

    def refusals(self) -> dict[str, int]:
        """Rejections by the incarnations that run, by reason."""
        counts = Counter[str]()
        for member in self.members.values():
            if member.incarnation:
                counts.update(member.incarnation.stats.refusals)
        return dict(counts)

    # Events

    def apply_event(self, kind: EventKind, at_s: float) -> None:
        """Carries out an event that is planned for a second of the run, in every process alike.

        Resets what is measured by event: bytes by second and each member's agreement.
        """
        for member in self.members.values():
            member.peers.bytes_by_second.clear()
            member.acts_on = None
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
            self._configure(kind)

    def _restart(self, numbers: set[int], at_s: float) -> None:
        back_s = at_s + self._job.fleet.restart_s
        for number in numbers:
            self.truth.up_since[number] = self._began + back_s
            member = self.members.get(number)
            if member and member.incarnation:
                member.incarnation.leave()
                member.incarnation = None
                self._at(back_s, self._start, member)

    def _crash(self, numbers: set[int]) -> None:
        for number in numbers:
            del self.truth.up_since[number]
            member = self.members.get(number)
            if member and member.incarnation:
                member.incarnation.crash()
                member.incarnation = None

    def _restart_all_down(self, at_s: float) -> None:
        """Starts all limiters that are down; the planned second counts as their start."""
        for number in self._played - set(self.truth.up_since):
            self.truth.up_since[number] = self._began + at_s
            if number in self.members:
                self._start(self.members[number])

    def _configure(self, kind: EventKind) -> None:
        """An operator changes the settings at one limiter; the others are to follow it."""
        self._order += 1
        routes = range(self._job.size.routes) if kind is EventKind.CONFIGURATION_WHOLE else (0,)
        self._document = settings.changed(self._document, routes, self._order)
        origin = self.members.get(min(self.truth.up_since))
        if origin and origin.incarnation:
            document = settings.own_document(self._document, origin.number, self._topology)
            origin.incarnation.change_settings(document, self._order)

    def _settings_applied(self, number: int) -> None:
        self.members[number].acts_on = self._scheduler.clock()

    # Observations

    def seconds_until_agreed(self, kind: EventKind, at_s: float) -> list[float | None]:
        """For each member that is up: seconds from the event until it agreed for good, or None."""
        up = [member for member in self.members.values() if member.incarnation]
        moments = [
            member.acts_on if kind in CONFIGURATION_EVENTS else member.watcher.right_since
            for member in up
        ]
        return [
            None if moment is None else max(0.0, moment - self._began - at_s) for moment in moments
        ]

    def traffic(self) -> Traffic:
        """Bytes sent since the last event."""
        return sum_traffic(member.peers.bytes_by_second for member in self.members.values())

    def falsely_dead(self) -> list[int]:
        """Limiters falsely considered dead by a member of this process since the last event."""
        up = [member for member in self.members.values() if member.incarnation]
        return sorted(set().union(*(member.watcher.falsely_dead for member in up)))

    # End of the run

    def silence(self) -> None:
        """Ends all incarnations, so that nothing more is sent."""
        for member in self.members.values():
            if member.incarnation:
                member.incarnation.crash()

    def dropped_datagrams(self) -> int:
        """Datagrams that the operating system dropped at these sockets; raises OSError."""
        return dropped_datagrams({member.peers.inode() for member in self.members.values()})

    def close(self) -> None:
        """Closes all sockets."""
        for member in self.members.values():
            member.peers.close()


def _first_request(tenant: Tenant, routes: int) -> DrawnRequest:
    return DrawnRequest(0.0, tenant.number, tenant.number % routes, 1)


def _replace(record: Any, values: dict[str, Any]) -> Any:
    """A copy of a frozen dataclass with other values, without the checks of its constructor.

    The checks of settings with many routes take long, and the original has passed them.
    """
    copy = object.__new__(type(record))
    copy.__dict__.update(record.__dict__ | values)
    return copy
