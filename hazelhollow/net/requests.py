"""Requests as clients send them: parsing them, and encoding them again for endpoints.

`Q.ASK CUSTOMER ID FIELDS` is for classes that are safe to repeat, `Q.DO CUSTOMER ID FIELDS BODY`
for all others. FIELDS is a comma-separated list of `name=value`:

| field | meaning | term in the code |
| --- | --- | --- |
| `c` | class | `class_name` |
| `t` | plan | `plan_name` |
| `d` | milliseconds that the client waits | `time_left`, in seconds |
| `units` | units that the request takes from the quota | `units` |
| `spread` | how many limiters the customer's requests are spread over | `set_size` |
| `first` | the id of the first of these limiters | `set_start` |
| `k` | idempotency key, for classes of effect `keyed` only | forwarded unchanged |
| `r` | 1 for a client's retry, else absent | `is_retry` |

Fields come in any order, each once; there are no others. Numbers have no sign and no leading zero.
A request that departs from this is answered with an error and reaches no endpoint, which would take
it for something that no client has sent.
"""

from __future__ import annotations

import math
import re

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.state.class_statistics import changed_classes
from hazelhollow.net import resp
from hazelhollow.net.errors import BadCommandError

_CUSTOMER = re.compile(rb"0{7}[01][0-9a-f]{8}")  # 16 hex digits, a number below 2**33
_ID = re.compile(rb"[!-~]{1,64}")
_KEY = re.compile(r"[!-+\--~]{1,64}")  # printable, and no comma
_INTEGER = re.compile(r"0|[1-9][0-9]{0,8}")
_UNITS = re.compile(r"(0|[1-9][0-9]{0,8})(\.[0-9]{1,9})?")  # an estimate may be a fraction
_REQUIRED_FIELDS = frozenset({"c", "t", "d", "units", "spread", "first"})
_OPTIONAL_FIELDS = frozenset({"k", "r"})
_MAX_FIELDS = len(_REQUIRED_FIELDS | _OPTIONAL_FIELDS)
_RETRY_MARK = "1"


class RequestLimits:
    """The values that the settings allow in a request.

    Requests with other values must not reach the decision engine or an endpoint: a single `nan`, or
    a wait of years, would corrupt the statistics that are collected from all other requests.

    Attributes:
        classes: The request classes by name.
        longest_deadline: The longest time in seconds that a client may wait, by class name.
    """

    def __init__(self, settings: api.Settings, previous: RequestLimits | None = None) -> None:
        """`previous`: the limits that applied until now, and to requests still in transit.

        A class whose deadline is shortened keeps the longer one as its limit.
        """
        self.classes = {kind.name: kind for kind in settings.classes}
        previous_longest = previous.longest_deadline if previous else dict[str, float]()
        changed = changed_classes(previous.classes if previous else {}, settings.classes)
        longest = previous_longest | {
            kind.name: max(kind.deadline, previous_longest.get(kind.name, 0.0)) for kind in changed
        }
        self.longest_deadline: dict[str, float] = {
            name: seconds for name, seconds in longest.items() if name in self.classes
        }
        self._plans = {plan.name for plan in settings.plans}
        self._limiter_count, self._max_units = settings.limiter_count, settings.max_units

    def read(self, arguments: list[bytes], waited: float) -> api.RequestArrived:
        """Parses a request command.

        Args:
            arguments: The arguments of the command, its name first.
            waited: Seconds that the command may have waited here unread; they are subtracted from
                the time that the client still waits.

        Raises:
            BadCommandError: The command contains something that is not allowed.
        """
        if len(arguments) != (5 if arguments[0] == b"Q.DO" else 4):
            raise BadCommandError("wrong number of arguments")
        if not _CUSTOMER.fullmatch(arguments[1]) or not _ID.fullmatch(arguments[2]):
            raise BadCommandError("no such customer, or no id")
        fields = _read_fields(arguments[3])
        kind, plan = self.classes.get(fields["c"]), fields["t"]
        wait_ms, units = fields["d"], fields["units"]
        if kind is None or plan not in self._plans:
            raise BadCommandError("no such class or plan")
        if (kind.effect == "safe") != (len(arguments) == 4):
            raise BadCommandError("not the command for this class")
        _check_key(fields.get("k"), kind)
        self._check_numbers(kind.name, wait_ms, units)
        self._check_set(fields["spread"], fields["first"])
        return api.RequestArrived(
            id=arguments[2].decode("ascii"),
            class_name=kind.name,
            plan_name=plan,
            customer=arguments[1].decode("ascii"),
            units=float(units),
            time_left=int(wait_ms) / 1000.0 - waited,
            set_start=int(fields["first"]),
            set_size=int(fields["spread"]),
            is_retry="r" in fields,
        )

    def _check_numbers(self, class_name: str, wait_ms: str, units: str) -> None:
        longest_ms = math.ceil(self.longest_deadline[class_name] * 1000)
        if not _INTEGER.fullmatch(wait_ms) or int(wait_ms) > longest_ms:
            raise BadCommandError("d out of range")
        if not _UNITS.fullmatch(units) or not 0 < float(units) <= self._max_units:
            raise BadCommandError("units out of range")

    def _check_set(self, spread: str, first: str) -> None:
        if not (_INTEGER.fullmatch(spread) and _INTEGER.fullmatch(first)):
            raise BadCommandError("set out of range")
        if not (0 < int(spread) <= self._limiter_count and int(first) < self._limiter_count):
            raise BadCommandError("set out of range")


def _read_fields(text: bytes) -> dict[str, str]:
    """Returns the fields by name; raises BadCommandError if a name is wrong, missing or twice."""
    if text.count(b",") >= _MAX_FIELDS:  # before thousands of empty ones are split
        raise BadCommandError("unreadable request")
    try:
        items = [item.split("=", 1) for item in text.decode("ascii").split(",")]
        fields = dict(items)
    except ValueError:
        raise BadCommandError("unreadable request") from None
    if len(fields) != len(items):
        raise BadCommandError("a field comes twice")
    names = fields.keys()
    if not names >= _REQUIRED_FIELDS or names - _REQUIRED_FIELDS - _OPTIONAL_FIELDS:
        raise BadCommandError("unreadable request")
    if fields.get("r", _RETRY_MARK) != _RETRY_MARK:
        raise BadCommandError("r is 1 or absent")
    return fields


def _check_key(key: str | None, kind: api.RequestClass) -> None:
    """Raises BadCommandError if a keyed class has no usable key, or another class has one."""
    if (key is not None) != (kind.effect == "keyed"):
        raise BadCommandError("a key belongs to keyed classes, and to each of their requests")
    if key is not None and not _KEY.fullmatch(key):
        raise BadCommandError("unreadable key")


class ParsedRequest:
    """A parsed request command, which can be encoded again with only the wait changed.

    Attributes:
        request: The event for the decision engine.
        size: The total size of the arguments in bytes.
    """

    __slots__ = ("request", "size", "_arguments", "_before_wait", "_after_wait")

    def __init__(self, arguments: list[bytes], request: api.RequestArrived) -> None:
        self.request, self._arguments, self.size = request, arguments, sum(map(len, arguments))
        fields = arguments[3]
        start = 0 if fields.startswith(b"d=") else fields.index(b",d=") + 1
        end = fields.find(b",", start)
        self._before_wait = fields[: start + 2]
        self._after_wait = fields[end:] if end >= 0 else b""

    def command(self, wait_ms: int) -> bytes:
        """Returns the encoded command for an endpoint that has to answer within that time."""
        arguments = self._arguments
        fields = b"%b%d%b" % (self._before_wait, wait_ms, self._after_wait)
        return resp.encode_command([*arguments[:3], fields, *arguments[4:]])
