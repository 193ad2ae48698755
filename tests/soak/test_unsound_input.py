"""Requests and answers that are not sound, through real processes."""

from __future__ import annotations

from functools import partial

from hazelhollow.soak.rig import Rig
from hazelhollow.soak.wire import Answer, Kind, encode
from hazelhollow.standins.answer_script import AnswerScript, End, Pause, Write
from tests.soak.helpers import CUSTOMER, new_id, request

LOOK = b"c=look,t=gold,d=2000,units=1,spread=1,first=0"
BUY = b"c=buy,t=gold,d=2000,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0"
PAY = b"c=pay,t=gold,d=2000,units=1,spread=1,first=0"


def ask(fields: bytes, verb: bytes = b"Q.ASK", customer: bytes = CUSTOMER) -> bytes:
    return encode(verb, customer, new_id(), fields)


def do(fields: bytes) -> bytes:
    return encode(b"Q.DO", CUSTOMER, new_id(), fields, b"BODY")


def framed(old: bytes, new: bytes) -> bytes:
    """Returns a sound request in which the first `old` is replaced."""
    sound = ask(LOOK)
    assert old in sound
    return sound.replace(old, new, 1)


UNSOUND_REQUESTS = {
    "count with a leading zero": framed(b"*4", b"*04"),
    "count with a sign": framed(b"*4", b"*+4"),
    "length with a leading zero": framed(b"$5", b"$05"),
    "length with a sign": framed(b"$5", b"$+5"),
    "status line as the verb": framed(b"$5\r\nQ.ASK", b"+Q.ASK"),
    "status line as the customer": framed(b"$16\r\n" + CUSTOMER, b"+" + CUSTOMER),
    "error line as the customer": framed(b"$16\r\n" + CUSTOMER, b"-" + CUSTOMER),
    "number as an argument": framed(b"$16\r\n" + CUSTOMER, b":1"),
    "null argument": framed(b"$16\r\n" + CUSTOMER, b"$-1"),
    "nested array": framed(b"$5\r\nQ.ASK", b"*1\r\n$5\r\nQ.ASK"),
    "line feed alone": framed(b"$5\r\n", b"$5\n"),
    "string longer than its length": framed(b"Q.ASK", b"Q.ASKK"),
    "inline command": b"Q.ASK %b %b %b\r\n" % (CUSTOMER, new_id(), LOOK),
    "empty array": b"*0\r\n",
    "null array": b"*-1\r\n",
    "verb in lower case": ask(LOOK, b"q.ask"),
    "verb in mixed case": encode(b"q.Do", CUSTOMER, new_id(), PAY, b"BODY"),
    "unknown verb": ask(LOOK, b"Q.GET"),
    "customer out of range": ask(LOOK, customer=b"0000000200000000"),
    "customer in upper case": ask(LOOK, customer=b"00000000B4D65521"),
    "customer too short": ask(LOOK, customer=b"0000000b4d65521"),
    "no id": encode(b"Q.ASK", CUSTOMER, b"", LOOK),
    "id with a space": encode(b"Q.ASK", CUSTOMER, b"a b", LOOK),
    "one argument too many": encode(b"Q.ASK", CUSTOMER, new_id(), LOOK, b"BODY"),
    "one argument too few": encode(b"Q.DO", CUSTOMER, new_id(), PAY),
    "unknown field": ask(LOOK + b",x=1"),
    "empty field": ask(LOOK + b","),
    "field without a value": ask(LOOK + b",r"),
    "field twice": ask(LOOK + b",d=2000"),
    "retry mark of 0": ask(LOOK + b",r=0"),
    "retry mark of 2": ask(LOOK + b",r=2"),
    "retry mark without a number": ask(LOOK + b",r="),
    "key in a class without keys": ask(LOOK + b",k=5c0f"),
    "key in an unsafe class": do(PAY + b",k=5c0f"),
    "no key": do(BUY.replace(b"k=5c0f6e1a2b3d4c59,", b"")),
    "empty key": do(BUY.replace(b"k=5c0f6e1a2b3d4c59", b"k=")),
    "key with a space": do(BUY.replace(b"k=5c0f", b"k=5 0f")),
    "key with a null byte": do(BUY.replace(b"k=5c0f", b"k=5\0cf")),
    "units with two points": ask(LOOK.replace(b"units=1", b"units=1.5.0")),
    "units with an exponent": ask(LOOK.replace(b"units=1", b"units=1e0")),
    "units that end in a point": ask(LOOK.replace(b"units=1", b"units=1.")),
    "units with a sign": ask(LOOK.replace(b"units=1", b"units=+1")),
    "units with a leading zero": ask(LOOK.replace(b"units=1", b"units=01")),
    "no units": ask(LOOK.replace(b"units=1", b"units=0")),
    "units out of range": ask(LOOK.replace(b"units=1", b"units=5")),
    "units not a number": ask(LOOK.replace(b"units=1", b"units=nan")),
    "deadline with a leading zero": ask(LOOK.replace(b"d=2000", b"d=0200")),
    "deadline in decimals": ask(LOOK.replace(b"d=2000", b"d=200.0")),
    "deadline out of range": ask(LOOK.replace(b"d=2000", b"d=90000")),
    "set too large": ask(LOOK.replace(b"spread=1", b"spread=2")),
    "empty set": ask(LOOK.replace(b"spread=1", b"spread=0")),
    "set with a leading zero": ask(LOOK.replace(b"first=0", b"first=00")),
    "set out of range": ask(LOOK.replace(b"first=0", b"first=1")),
    "unknown class": ask(LOOK.replace(b"c=look", b"c=loo")),
    "unknown plan": ask(LOOK.replace(b"t=gold", b"t=golden")),
    "command of another class": ask(PAY),
    "command of a safe class with a body": do(LOOK),
    "field name in upper case": ask(LOOK.replace(b"units", b"Units")),
    "space around a value": ask(LOOK.replace(b"d=2000", b"d= 2000")),
    "digits of another alphabet": ask(LOOK.replace(b"units=1", "units=\u0661".encode())),
    "body over 64 KiB": encode(b"Q.DO", CUSTOMER, new_id(), PAY, b"B" * 65537),
}

VALUE = b"$5\r\nvalue\r\n"
UNSOUND_ANSWERS = {
    "status line": b"+value\r\n",
    "number": b":1\r\n",
    "bulk string alone": VALUE,
    "null": b"$-1\r\n",
    "null value": b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
    "status line as the value": b"*3\r\n+value\r\n$-1\r\n$-1\r\n",
    "error line as the value": b"*3\r\n-ERR x\r\n$-1\r\n$-1\r\n",
    "error line among the figures": b"*3\r\n" + VALUE + b"-ERR failed\r\n$-1\r\n",
    "array in place of the figures": b"*3\r\n" + VALUE + b"*1\r\n$1\r\nx\r\n$-1\r\n",
    "one item": b"*1\r\n" + VALUE,
    "two items": b"*2\r\n" + VALUE + b"$-1\r\n",
    "four items": b"*4\r\n" + VALUE + b"$-1\r\n$-1\r\n$-1\r\n",
    "count with a leading zero": b"*03\r\n" + VALUE + b"$-1\r\n$-1\r\n",
    "length with a leading zero": b"*3\r\n$05\r\nvalue\r\n$-1\r\n$-1\r\n",
    "length with a sign": b"*3\r\n$+5\r\nvalue\r\n$-1\r\n$-1\r\n",
    "length too short": b"*3\r\n$4\r\nvalue\r\n$-1\r\n$-1\r\n",
    "length too long": b"*3\r\n$6\r\nvalue\r\n$-1\r\n$-1\r\n",
    "null of another length": b"*3\r\n" + VALUE + b"$-2\r\n$-1\r\n",
    "null with a leading zero": b"*3\r\n" + VALUE + b"$-01\r\n$-1\r\n",
    "line feed alone": b"*3\n" + VALUE + b"$-1\r\n$-1\r\n",
    "nested array": b"*1\r\n*3\r\n" + VALUE + b"$-1\r\n$-1\r\n",
    "noise": b"\x00\x01\x02noise\r\n",
    "noise without an end": b"x" * 10_000,
    "length of 3 GB": b"*3\r\n$3000000000\r\nvalue",
    "error line with a carriage return": b"-ERR a\rb\r\n",
    "error line that is no error": b"-\r\n",
    "nothing": b"",
}


# The platform's page calls an answer good whose load report or usage figure cannot be read.
UNREADABLE_FIGURES = {
    "noise as the figures": b"*3\r\n" + VALUE + b"$4\r\n\x00=\xff,\r\n$-1\r\n",
    "noise as the report": b"*3\r\n" + VALUE + b"$-1\r\n$3\r\n===\r\n",
    "malformed number": b"*3\r\n" + VALUE + b":many\r\n$-1\r\n",
    "number as the report": b"*3\r\n" + VALUE + b"$-1\r\n:5\r\n",
}


def unsound(data: bytes, _arguments: list[bytes]) -> AnswerScript:
    return [Write(data), Pause(0.1), End.CLOSE]


def test_unsound_requests_served_or_sent_on() -> None:
    """Each gets an error line or a close within 3 s, and none reaches an endpoint."""
    wrong = dict[str, str]()
    with Rig() as rig:

        def scenario() -> None:
            rig.start()
            for name, data in UNSOUND_REQUESTS.items():
                runs = len(rig.executions)
                client = rig.connect()
                client.send(data)
                answer = client.answer(3.0)
                is_error = answer is not None and answer.kind is Kind.ERROR
                if not (is_error or client.closed) or len(rig.executions) > runs:
                    wrong[name] = f"{answer}, {len(rig.executions) - runs} run"
                client.close()
            client = rig.connect()
            for class_name in ("look", "buy", "pay"):
                client.send(request(class_name, b"sound-" + class_name.encode()))
                answer = client.answer(3.0)
                if answer != Answer(Kind.VALUE, b"value of sound-" + class_name.encode()):
                    wrong[f"sound {class_name}"] = str(answer)

        rig.run(scenario)
    assert wrong == {}


def test_unsound_answers_of_endpoints_passed_on_as_values() -> None:
    """The request may have run and is unsafe to repeat: it fails, and is answered in its time."""
    wrong = dict[str, str]()
    with Rig() as rig:

        def scenario() -> None:
            rig.start()
            for name, data in {**UNSOUND_ANSWERS, **UNREADABLE_FIGURES}.items():
                rig.script = partial(unsound, data)
                runs = len(rig.executions)
                client = rig.connect()
                client.send(request("pay", new_id(), 1500))
                answer = client.answer(2.5)
                if name in UNREADABLE_FIGURES:
                    if answer != Answer(Kind.VALUE, b"value"):
                        wrong[name] = str(answer)
                elif answer is None or answer.kind is not Kind.ERROR:
                    wrong[name] = str(answer)
                if len(rig.executions) != runs + 1:
                    wrong[name] = f"{len(rig.executions) - runs} run"
                client.close()
                rig.script = None
                for _ in range(3):  # sound answers, so that no endpoint stays ejected
                    client = rig.connect()
                    client.send(request("look", new_id()))
                    client.answer(2.5)
                    client.close()

        rig.run(scenario)
    assert wrong == {}
