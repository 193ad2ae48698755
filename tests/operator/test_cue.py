"""Tests of the CUE subset that operator files are written in: parser, evaluation, messages."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from hazelhollow.operator.errors import CueError
from hazelhollow.operator.evaluate import evaluate
from hazelhollow.operator.parser import MAX_BYTES, parse

SCHEMA = b"""package s
#Op: {log: #Log, store?: #Store, n: *3 | int & >=1 & <=64, kind: *#A | #B}
#A: {is: "a", x: *1 | int}
#B: {is: "b", y: string}
#Log: {format: *"json" | "console"}
#Time: =~"^[0-9]+(ms|s)$"
#Store: {address: =~"^[^:]+:[0-9]+$", wait: *"50ms" | #Time, plans: [...string], lease: #Lease}
#Lease: {share: *1.5 | number & >0, odd?: bool, level!: int}
"""


def read(text: str) -> object:
    return evaluate(parse(text.encode(), "f.cue"), parse(SCHEMA, "schema.cue"), "#Op")


def plain(text: str) -> object:
    return evaluate(parse(text.encode(), "f.cue"))


def problems(text: str, schema: bool = True) -> list[str]:
    with pytest.raises(CueError) as caught:
        read(text) if schema else plain(text)
    return [str(problem) for problem in caught.value.problems]


DEFAULT = {"log": {"format": "json"}, "n": 3, "kind": {"is": "a", "x": 1}}


@pytest.mark.parametrize(
    "text, changes",
    [
        ("", {}),
        ("// nothing\n\n", {}),
        ("package x\nn: 64\n", {"n": 64}),
        ("n: _m\n_m: 7", {"n": 7}),
        ('log: format: "console"', {"log": {"format": "console"}}),
        ('kind: is: "b"\nkind: y: "z"', {"kind": {"is": "b", "y": "z"}}),
        ("n: >=4 & 5", {"n": 5}),
        (
            (
                '_a: "h:2"\nstore: {address: _a, plans: ["p",\n "q",\n], lease: level: 2, '
                'wait: _t.long}\n_t: long: "3s"'
            ),
            {
                "store": {
                    "address": "h:2",
                    "wait": "3s",
                    "plans": ["p", "q"],
                    "lease": {"share": 1.5, "level": 2},
                }
            },
        ),
    ],
)
def test_file_is_unified_with_its_definition(text: str, changes: dict[str, object]) -> None:
    assert read(text) == {**DEFAULT, **changes}


@pytest.mark.parametrize(
    "text, value",
    [
        ("#D: {x: int, y: x}\nv: #D & {x: 3}\nz: v.y", {"v": {"x": 3, "y": 3}, "z": 3}),
        ("x: *1 | 2\ny: x\ny: 2", {"x": 1, "y": 2}),
        (
            'a: 10K\nb: 1.5Ki\nc: 1_000\nd: 1e3\n"e f": -3\ng?: 3',
            {"a": 10000, "b": 1536, "c": 1000, "d": 1000.0, "e f": -3},
        ),
        ("g?: 3\ng: int", {"g": 3}),
        ("w: [1, 2, ...int]\nw: [_, _, 4]", {"w": [1, 2, 4]}),
        ('s: "\\u00e4\\t\\"\\\\"', {"s": 'ä\t"\\'}),
        ("a: {b: c: 1}\na: b: d: true", {"a": {"b": {"c": 1, "d": True}}}),
        ("l: [...{k: *1 | int}]\nl: [{}, {k: 2}]", {"l": [{"k": 1}, {"k": 2}]}),
        ("#L: {v: int, next?: #L}\nl: #L & {v: 1, next: v: 2}", {"l": {"v": 1, "next": {"v": 2}}}),
        ("least: 3\na: >=least & 3", {"least": 3, "a": 3}),
        # a reference resolves to the innermost scope
        ("a: {b: 1}\nc: {a: 2, d: a}", {"a": {"b": 1}, "c": {"a": 2, "d": 2}}),
        ("a: null\nb: (1 | *2) & >1", {"a": None, "b": 2}),
    ],
)
def test_values_follow_cue(text: str, value: object) -> None:
    assert plain(text) == value


@pytest.mark.parametrize(
    "text, expected",
    [
        ("n: 99", ["f.cue:1:4: n: 99 is not allowed here; allowed: *3 | int & >=1 & <=64"]),
        ('n: "3"', ['f.cue:1:4: n: "3" is not allowed here; allowed: *3 | int & >=1 & <=64']),
        (
            "lgo: 1",
            [
                (
                    "f.cue:1:1: lgo: there is no such field, is 'log' meant?; allowed: kind, "
                    "log, n, store"
                )
            ],
        ),
        (
            "store: {lease: level: 1}",
            ['f.cue:1:1: store.address: is missing; allowed: =~"^[^:]+:[0-9]+$"'],
        ),
        ('store: {address: "a:1"}', ["f.cue:1:1: store.lease.level: is missing; allowed: int"]),
        (
            (
                'store: {address: "a:1", wait: "5x", plans: ["x", 3]\nlease: {share: -1, zz: '
                "3, level: 1}}\nn: 0"
            ),
            [
                'f.cue:1:31: store.wait: "5x" is not allowed here; allowed: *"50ms" | #Time',
                "f.cue:1:50: store.plans[1]: 3 is not allowed here; allowed: string",
                (
                    "f.cue:2:16: store.lease.share: -1 is not allowed here; allowed: *1.5 | "
                    "number & >0"
                ),
                "f.cue:2:20: store.lease.zz: there is no such field; allowed: level, odd, share",
                "f.cue:3:4: n: 0 is not allowed here; allowed: *3 | int & >=1 & <=64",
            ],
        ),
    ],
)
def test_every_problem_is_reported_with_place_path_and_allowed_values(
    text: str, expected: list[str]
) -> None:
    """A file has one or several problems. Each is reported, not only the first, with its line,
    its path and the values allowed.
    """
    assert problems(text) == expected


@pytest.mark.parametrize(
    "text, word",
    [
        ("a: {", "f.cue:1:4: the end of the file"),
        ("a: 1 b: 2", "f.cue:1:6: 'b'"),
        ("a: @", "f.cue:1:4: '@'"),
        ("a: b", "f.cue:1:4: a: there is no 'b'"),
        ("a: b\nb: a", "f.cue:1:4: a: is not a concrete value"),
        ("a: 1 | 2", "several values fit"),
        ("a: 1\na: 2", "f.cue:2:4: a: 2 is not allowed here; allowed: 1"),
        ('a: "\\(x)"', "the escape"),
        ('a: =~"(a+)+$" & "aaaa"', "repeats within repeats"),
        ('a: =~"(" & "x"', "the pattern"),
        ("#L: {next: #L}\nl: #L", "too much"),
        ("a: " + "[" * 40 + "]" * 40, "at most 32 brackets deep"),
        ("a: 1234567890123456789", "the number 1234567890123456789; allowed: at most 18"),
        ("_: 1", "'_' cannot be a label"),
        ("a: [1]\na: [1, 2]", "a list of 2 values"),
        ("#A: {a: int}\nb: #A & {a: 1, c: 2}", "b.c: there is no such field"),
        ("a: >1 & 1", "a: 1 is not allowed"),
        ("a: b.c\nb: 1", "there is no b.c"),
        ("a: 1 & 1.0", "a: 1 & 1.0 is not allowed here"),
        ("package 1", "'1' is not expected here"),
    ],
)
def test_invalid_file_is_rejected_with_the_reason(text: str, word: str) -> None:
    """A file cannot be parsed, or a value is not concrete: it is rejected with the reason."""
    assert any(word in problem for problem in problems(text, schema=False))


@pytest.mark.parametrize(
    "data, word", [(b"a: 1\nb: \xff", "f.cue:2:4: a byte"), (b" " * (MAX_BYTES + 1), "at most")]
)
def test_file_not_in_utf8_or_too_large_is_rejected(data: bytes, word: str) -> None:
    """A file is not UTF-8, or larger than the limit: it is rejected with the place."""
    with pytest.raises(CueError, match=word):
        parse(data, "f.cue")


PIECES = [
    "a",
    "b",
    "#D",
    "_h",
    ":",
    "?",
    "{",
    "}",
    "[",
    "]",
    "...",
    ",",
    "\n",
    "|",
    "*",
    "&",
    ">=",
    "=~",
    "!=",
    "1",
    "-2.5",
    '"x"',
    "int",
    "string",
    "number",
    "_",
    "(",
    ")",
    ".",
    "true",
    "//c\n",
    "null",
    "package ",
]


@given(
    st.one_of(
        st.binary(max_size=200),
        st.lists(st.sampled_from(PIECES), max_size=40).map(lambda p: "".join(p).encode()),
    )
)
def test_any_bytes_give_a_value_or_located_problems(data: bytes) -> None:
    """For any bytes the result is a value or problems with a place; nothing else is raised."""
    try:
        evaluate(parse(data, "f.cue"), parse(SCHEMA, "schema.cue"), "#Op")
    except CueError as error:
        assert error.problems and all(
            problem.found and problem.place.line > 0 for problem in error.problems
        )


@hypothesis_settings(max_examples=15)
@given(st.integers(2, 12), st.integers(1, 40))
def test_evaluation_work_is_bounded(width: int, depth: int) -> None:
    """References that multiply at every level would take exponential work; evaluation stops and
    reports that it takes too much work.
    """
    lines = ["x0: {v: 1}"] + [
        f"x{i}: {{{', '.join(f'y{k}: x{i - 1}' for k in range(width))}}}" for i in range(1, depth)
    ]
    try:
        plain("\n".join(lines))
    except CueError as error:
        assert "too much" in str(error)
