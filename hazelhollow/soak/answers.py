"""What the endpoints of a soak run write for each request, faults included."""

from __future__ import annotations

import random
from collections.abc import Sequence

from hazelhollow.soak.plan import ANSWER_KINDS, FAULT_SHARE, SoakPlan
from hazelhollow.soak.record import TIMED_BY_FIRST_BYTE, SlowAnswer, SoakRecord, value_for
from hazelhollow.soak.rig import Rig
from hazelhollow.standins.answer_script import AnswerScript, End, Pause, Write, answer, in_pieces

ID_DIGITS = 12  # of an id; the size of its value in hexadecimal follows
HELD_S = 0.45  # by an endpoint, for a request whose client asks for it
BREAK_S = 0.3  # from the first part of a value to its end
FAIL_S = 0.4  # until a request of a client that has left is answered with an error
DROP_INTERVAL_S = 0.1  # of a slow answer
MAX_DROP_PAUSE_S = 1.7  # within a long value
LATE_VALUE_S = 1.0  # after its head
FIGURES, REPORT = b"used=1", b"inflight=1,queue=0,util=0.1"
UNSOUND_ANSWERS = (
    b"*3\r\n+value\r\n$-1\r\n$-1\r\n",
    b"*3\r\n$05\r\nvalue\r\n$-1\r\n$-1\r\n",
    b"*2\r\n$5\r\nvalue\r\n$-1\r\n",
    b"*3\r\n$9\r\nvalue\r\n$-1\r\n$-1\r\n",
    b"$5\r\nvalue\r\n",
)


class AnswerWriter:
    """Draws the script of each answer, and notes in the record which ones stay incomplete.

    Attributes:
        kinds: The kinds of faulty answers that are on.
        refused: Endpoints with the ids that they refused.
    """

    def __init__(self, plan: SoakPlan, rig: Rig, record: SoakRecord, draw: random.Random) -> None:
        self._rig, self._record, self._draw = rig, record, draw
        self.kinds = [kind for kind in ANSWER_KINDS if plan.has(f"server: {kind}")]
        self.refused = set[tuple[str, bytes]]()

    def script(self, arguments: list[bytes]) -> AnswerScript:
        """Returns what an endpoint writes for a request."""
        request_id = arguments[2].decode()
        digits = request_id[ID_DIGITS:]
        value = value_for(request_id, int(digits, 16) if digits else 0)
        whole = answer(value, FIGURES, REPORT)
        slow = self._record.slow_answers.get(request_id)
        if slow:
            return _slowly(whole, len(b"*3\r\n$%d\r\n" % len(value)), slow)
        if request_id in self._record.held_ids:
            return [Pause(HELD_S), Write(whole)]
        if request_id in self._record.breaking_ids:
            self._record.broken_ids.add(request_id)
            part = Write(whole[: len(whole) // 2])
            return [part, Pause(BREAK_S), self._draw.choice((End.RESET, End.CLOSE, End.HANG))]
        if request_id in self._record.failing_ids:
            self._record.failing_ids.discard(request_id)
            return [Pause(FAIL_S), Write(b"-ERR failed\r\n")]
        if self.kinds and self._draw.random() < len(self.kinds) * FAULT_SHARE:
            return self._faulty(self._draw.choice(self.kinds), request_id, value, whole)
        pieces = self._draw.choice((1, 3)) if len(value) > 70_000 else 1
        return in_pieces(whole, pieces, 0.1) if pieces > 1 else [Write(whole)]

    def _faulty(
        self, kind: str, request_id: str, value: bytes, whole: bytes
    ) -> Sequence[Write | Pause | End]:
        head = b"*3\r\n$%d\r\n" % len(value)
        if kind == "pieces":
            return in_pieces(whole, self._draw.choice((2, 4)), 0.05 + 0.2 * self._draw.random())
        if kind == "drips":
            return self._in_drops(whole, len(head), len(value))
        if kind == "busy":
            latest = next(
                one for one in reversed(self._rig.executions) if one.id.decode() == request_id
            )
            self.refused.add((latest.endpoint, latest.id))
            return [Write(b"-BUSY\r\n")]
        if kind == "error":
            return [Write(b"-ERR failed inflight=1,queue=0,util=0.1\r\n")]
        self._record.broken_ids.add(request_id)
        if kind == "heads":
            if self._draw.random() < 0.5:
                return [Write(head), End.HANG]
            return [Write(head), Pause(LATE_VALUE_S), Write(whole[len(head) :])]
        if kind == "stops":
            ends = (len(head) + 1, len(head) + len(value) // 2, len(head) + len(value))
            places = (2, *ends, ends[2] + 2, len(whole) - 2)
            return [Write(whole[: self._draw.choice(places)]), End.HANG]
        if kind == "reset":
            cut = self._draw.randrange(len(whole))
            return [Write(whole[: cut if self._draw.random() < 0.5 else 0]), Pause(0.02), End.RESET]
        if kind == "hang":
            return [End.HANG]
        return [Write(self._draw.choice(UNSOUND_ANSWERS)), Pause(0.05), End.CLOSE]

    def _in_drops(self, whole: bytes, head: int, size: int) -> Sequence[Write | Pause | End]:
        """Writes a long value with pauses at each place of the answer, a short one at once."""
        if size <= TIMED_BY_FIRST_BYTE:
            return [Write(whole)]
        cuts = [head + 1, head + size // 2, head + size, len(whole)]
        steps, start = list[Write | Pause | End](), 0
        for cut in cuts:
            if start:
                steps.append(Pause(MAX_DROP_PAUSE_S * self._draw.random()))
            steps.append(Write(whole[start:cut]))
            start = cut
        return steps


def _slowly(whole: bytes, head_size: int, slow: SlowAnswer) -> AnswerScript:
    if slow.is_late:
        return [Write(whole[:head_size]), Pause(slow.seconds), Write(whole[head_size:])]
    pieces = max(2, round(slow.seconds / DROP_INTERVAL_S))
    return in_pieces(whole, pieces, slow.seconds / pieces)
