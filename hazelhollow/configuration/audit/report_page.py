"""The audit as one HTML page: findings and a timeline of the settings of each member.

The page supports light and dark mode, has no script and loads nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from html import escape
from typing import Any

# Dimensions of the timeline in pixels.
WIDTH, ROW_HEIGHT = 960, 26
LEFT, RIGHT, TOP, BOTTOM = 84, 26, 30, 34  # margins
LEGEND_STEP = 90
MIN_BAR = 2.0
COLOURS = 6  # reused in turn for further revisions
TICKS = 8

_STYLE = """
:root { --ink: #1c2430; --soft: #5b6675; --line: #d5dbe3; --page: #ffffff; --card: #f5f7fa;
  --bad: #b3261e; --out: #1c2430;
  --c0: #9db8d9; --c1: #e0a458; --c2: #7fb285; --c3: #b694c7; --c4: #d98a8a; --c5: #6fb3b8; }
@media (prefers-color-scheme: dark) { :root { --ink: #e6eaf0; --soft: #9aa5b4; --line: #3a4452;
  --page: #141a22; --card: #1d2530; --bad: #ff8a80;
  --out: #e6eaf0; --c0: #4d6c94; --c1: #a8722c; --c2: #48794f; --c3: #7d5c8f; --c4: #9c5252;
  --c5: #3b7b80; } }
body { font: 15px/1.5 system-ui, sans-serif; color: var(--ink); background: var(--page);
  margin: 2rem auto; max-width: 1000px; padding: 0 1rem; }
h1 { font-size: 1.4rem; }
h2 { font-size: 1.1rem; margin-top: 2rem; }
.soft { color: var(--soft); }
.bad { color: var(--bad); }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: .3rem .6rem; border-bottom: 1px solid var(--line); }
svg { width: 100%; height: auto; background: var(--card); border-radius: 6px; }
svg text { fill: var(--ink); font: 12px system-ui, sans-serif; }
.shut { fill: none; stroke: var(--out); stroke-width: 2; stroke-dasharray: 3 3; }
.tick { stroke: var(--line); }
"""


def render(report: dict[str, Any], title: str = "Audit of the fleet") -> str:
    """Renders the page.

    Args:
        report: The result of `AuditMerge.document`.
        title: Title of the page.
    """
    findings, unknown = report["findings"], report["not_known"]
    head = "no findings" if not findings else f"{len(findings)} findings"
    parts = [
        (
            "<!doctype html><html lang=en><meta charset=utf-8><meta name=color-scheme "
            f"content='light dark'><title>{escape(title)}</title>"
        ),
        f"<style>{_STYLE}</style><h1>{escape(title)}</h1>",
        (
            f"<p class='{'bad' if findings else 'soft'}'>{len(report['members'])} members, "
            f"{report['entries']} entries: {head}.</p>"
        ),
        "<h2>Settings by member</h2>",
        _Timeline(report).render(),
        _changes(report["changes"]),
    ]
    if report["rollout"]:
        parts.append(_rollout(report))
    if findings:
        parts += _findings(report)
    if unknown:
        parts.append(
            "<h2>Not determined</h2><ul>"
            + "".join(f"<li>{escape(text)}" for text in unknown)
            + "</ul>"
        )
    return "\n".join(parts) + "\n"


def _spans(report: dict[str, Any]) -> list[dict[str, Any]]:
    return [span for member in report["members"].values() for span in member["spans"]]


def _begin(report: dict[str, Any]) -> float:
    """The begin of the first span, which the page shows as second 0."""
    return min((span["begin"] for span in _spans(report)), default=0.0)


def _findings(report: dict[str, Any]) -> list[str]:
    rows = [
        (
            f"<tr><td>{finding['t'] - _begin(report):.1f}<td "
            f"class=bad>{escape(finding['what'])}<td>{escape(finding['text'])}"
        )
        for finding in report["findings"]
    ]
    return ["<h2>Findings</h2><table><tr><th>second<th>what<th>", *rows, "</table>"]


def _rollout(report: dict[str, Any]) -> str:
    rows = [
        f"<tr><td>{event['t'] - _begin(report):.1f}<td>{event['order']}<td>{event['member']}"
        f"<td>{escape(event['step'])}<td>{escape(event['why'])}"
        for event in report["rollout"]
    ]
    head = "<h2>Canary rollouts</h2><table><tr><th>second<th>order<th>member<th>step<th>why"
    return head + "".join(rows) + "</table>"


def _changes(changes: list[dict[str, Any]]) -> str:
    rows = [
        f"<tr><td>{change['order']}<td>{escape(', '.join(change['digests']))}"
        f"<td>{len(change['members'])}<td>{change['last_old_after_s']:.2f}"
        f"<td>{change['requests_under_older_since']}"
        for change in changes
    ]
    head = (
        "<tr><th>order<th>settings<th>members that acted on it<th>last on an older one, "
        "seconds after the first<th>requests in later spans under older ones"
    )
    return f"<h2>Changes</h2><table>{head}{''.join(rows)}</table>"


@dataclass(frozen=True)
class _Scale:
    """Maps times to pixels."""

    begin: float
    end: float

    @property
    def per_second(self) -> float:
        return (WIDTH - LEFT - RIGHT) / max(self.end - self.begin, 0.001)

    def x(self, time: float) -> float:
        return LEFT + (time - self.begin) * self.per_second

    def width(self, begin: float, end: float) -> float:
        return max(MIN_BAR, (end - begin) * self.per_second)


class _Timeline:
    """The timeline as SVG, with a row for each member.

    Each revision has a colour. A dashed frame marks a period in which the member accepted no new
    work, and a triangle marks a finding.
    """

    def __init__(self, report: dict[str, Any]) -> None:
        self._found, spans = report, _spans(report)
        begin = _begin(report)
        self._scale = _Scale(begin, max((span["end"] for span in spans), default=begin + 1.0))
        members = sorted(report["members"], key=int)
        self._rows = {number: TOP + row * ROW_HEIGHT for row, number in enumerate(members)}
        self._height = TOP + len(self._rows) * ROW_HEIGHT + BOTTOM
        self._revisions = sorted({span["order"] for span in spans})

    def render(self) -> str:
        """Returns the SVG element."""
        parts = [
            (
                f"<svg viewBox='0 0 {WIDTH} {self._height}' role=img aria-label='timeline of "
                "members by version'>"
            )
        ]
        parts += self._ticks()
        for number, y in self._rows.items():
            parts.append(f"<text x=8 y={y + 16}>member {number}</text>")
            for span in self._found["members"][number]["spans"]:
                parts += self._span(span, y)
        parts += self._finding_marks()
        parts += self._legend()
        return "".join(parts)

    def _ticks(self) -> list[str]:
        duration = self._scale.end - self._scale.begin
        decimals = 0 if duration > 40 else 1
        parts = []
        for tick in range(TICKS + 1):
            x = LEFT + duration * self._scale.per_second * tick / TICKS
            parts.append(
                f"<line class=tick x1={x:.1f} x2={x:.1f} y1={TOP - 8} y2={self._height - 30} "
                f"/><text x={x:.1f} y={TOP - 12} "
                f"text-anchor=middle>{duration * tick / TICKS:.{decimals}f} s</text>"
            )
        return parts

    def _span(self, span: dict[str, Any], y: int) -> list[str]:
        x, width = self._scale.x(span["begin"]), self._scale.width(span["begin"], span["end"])
        tip = (
            f"order {span['order']}, settings {span['settings']}, {span['requests']} "
            f"requests; {span['why']}"
        )
        parts = [
            (
                f"<rect x={x:.1f} y={y + 3} width={width:.1f} height={ROW_HEIGHT - 8} rx=3 "
                f"style='fill:var(--c{self._colour(span['order'])})'>"
                f"<title>{escape(tip)}</title></rect>"
            )
        ]
        for begin, end in span["shut_out"]:
            width = self._scale.width(begin, min(end, span["end"]))
            parts.append(
                f"<rect class=shut x={self._scale.x(begin):.1f} y={y + 5} "
                f"width={width:.1f} height={ROW_HEIGHT - 12}><title>shut out</title></rect>"
            )
        return parts

    def _finding_marks(self) -> list[str]:
        return [
            f"<text class=bad x={self._scale.x(finding['t']):.1f} "
            f"y={self._rows[str(number)] + 17} "
            f"style='fill:var(--bad)'>&#9650;<title>{escape(finding['text'])}</title></text>"
            for finding in self._found["findings"]
            for number in finding["members"]
            if str(number) in self._rows
        ]

    def _legend(self) -> list[str]:
        parts, x, y = [], LEFT, self._height
        for revision in self._revisions:
            parts.append(
                f"<rect x={x} y={y - 22} width=14 height=12 rx=2 "
                f"style='fill:var(--c{self._colour(revision)})' /><text x={x + 19} "
                f"y={y - 12}>order {revision}</text>"
            )
            x += LEGEND_STEP
        parts.append(
            f"<rect class=shut x={x} y={y - 22} width=14 height=12 /><text x={x + 19} "
            f"y={y - 12}>shut out</text></svg>"
        )
        return parts

    def _colour(self, revision: int) -> int:
        return self._revisions.index(revision) % COLOURS
