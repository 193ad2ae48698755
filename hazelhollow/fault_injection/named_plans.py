"""Predefined plans by name; each has faults of one kind."""

from __future__ import annotations

from hazelhollow.fault_injection.errors import PlanError
from hazelhollow.fault_injection.plan import DEFAULT_SECONDS, FIRST_PLAN_REVISION, Event, Plan

Events = tuple[Event, ...]


def named_plan(
    name: str, instances: int = 5, seconds: float = DEFAULT_SECONDS, seed: int = 1
) -> Plan:
    """Returns the predefined plan `name`.

    Raises:
        PlanError: there is no plan of that name.
    """
    names = tuple(f"n{n}" for n in range(instances))
    plans = _process_faults(names) | _link_faults(names) | _settings_changes(names)
    if name not in plans:
        raise PlanError(f"no plan '{name}'; the predefined plans are {', '.join(sorted(plans))}")
    return Plan(
        zones=2 if name == "zone_off" else 1,
        name=name,
        instances=instances,
        seconds=seconds,
        seed=seed,
        events=plans[name],
    )


def _first_half(names: tuple[str, ...]) -> tuple[str, ...]:
    return names[: len(names) // 2]


def _process_faults(names: tuple[str, ...]) -> dict[str, Events]:
    first, rest, count = names[:1], names[1:], len(names)
    return {
        "calm": (),
        "kill": (Event(at=6, what="kill", whom=first, lasts=0.5, repeat=4, until=16),),
        "kill_most": (Event(at=6, what="kill", whom=rest, lasts=0.5, repeat=4, until=16),),
        "kill_all": (Event(at=6, what="kill", whom=names, lasts=0.5, repeat=4, until=16),),
        "roll": tuple(
            Event(at=5 + 2 * n * 5 / count, what="restart", whom=(names[n],)) for n in range(count)
        ),
        "pause": (Event(at=8, what="pause", whom=first, lasts=3),),
        "crash_half": (Event(at=8, what="kill", whom=_first_half(names)),),
        "gone": (Event(at=8, what="kill", whom=first),),
        "host_gone": (Event(at=8, what="kill", whom=("h0",), lasts=4),),
        "discovery": (Event(at=6, what="discovery_down", whom=("d",), lasts=6),),
    }


def _link_faults(names: tuple[str, ...]) -> dict[str, Events]:
    first, half = names[:1], _first_half(names)
    return {
        "one_way": (Event(at=8, what="cut", whom=first, lasts=6, one_way=True),),
        "two_parts": (Event(at=8, what="cut", whom=half, lasts=6),),
        "one_off": (Event(at=8, what="cut", whom=first, lasts=6),),
        "all_off": (Event(at=8, what="cut", whom=names, others=names, lasts=6),),
        "flap": (Event(at=8, what="cut", whom=half, lasts=0.5, repeat=1, until=14),),
        "lossy": (Event(at=4, what="lose", whom=names, others=names, lasts=12, amount=0.1),),
        "zone_off": (Event(at=8, what="cut", whom=("z0",), lasts=6),),
    }


def _settings_changes(names: tuple[str, ...]) -> dict[str, Events]:
    first, rest, half, count = names[:1], names[1:], _first_half(names), len(names)
    second_half = names[len(half) :]
    return {
        "roll_settings": tuple(
            Event(at=5 + 3 * n / count, what="settings", whom=(names[n],), amount=1)
            for n in range(count)
        ),
        "one_changed": (Event(at=5, what="settings", whom=first, amount=1),),
        "roll_lossy": (
            Event(at=4, what="lose", whom=names, others=names, lasts=10, amount=0.2),
            Event(at=5, what="settings", whom=first, amount=1),
        ),
        "back_on_old": (
            Event(at=4, what="settings", whom=names, amount=1),
            Event(at=8, what="old", whom=first, lasts=1),
        ),
        "paused_on_old": (
            Event(at=5, what="pause", whom=first, lasts=5),
            Event(at=6, what="settings", whom=rest, amount=1),
        ),
        "new_plan": (
            Event(at=4, what="settings", whom=rest, amount=FIRST_PLAN_REVISION),
            *(
                Event(at=5 + 8 * n / count, what="restart", whom=(name,))
                for n, name in enumerate(rest)
            ),
        ),
        "split_orders": (
            Event(at=5, what="cut", whom=half, lasts=6),
            Event(at=7, what="settings", whom=half, amount=1),
            Event(at=7, what="settings", whom=second_half, amount=2),
        ),
    }


NAMED = tuple({**_process_faults(("n0",)), **_link_faults(("n0",)), **_settings_changes(("n0",))})
