"""The audit as one page: what was found, who acted on what as a time line, light and dark.

No script, nothing from elsewhere.
"""

from __future__ import annotations

from html import escape
from typing import Any

WIDTH, ROW, LEFT, RIGHT, TOP = 960, 26, 84, 26, 30
COLOURS = 6  # that orders go round
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


def page(found: dict[str, Any], title: str = "Audit of the fleet") -> str:
    """HTML of what `merge.Fleet.document` gives."""
    findings, unknown = found["findings"], found["not_known"]
    head = "nothing was found" if not findings else f"{len(findings)} findings"
    parts = [
        (
            "<!doctype html><html lang=en><meta charset=utf-8><meta name=color-scheme "
            f"content='light dark'><title>{escape(title)}</title>"
        ),
        f"<style>{_STYLE}</style><h1>{escape(title)}</h1>",
        (
            f"<p class='{'bad' if findings else 'soft'}'>{len(found['members'])} members, "
            f"{found['entries']} entries: {head}.</p>"
        ),
        "<h2>Who acted on what</h2>",
        _time_line(found),
        _changes(found["changes"]),
    ]
    if found["rollout"]:
        parts.append(_rollout(found))
    if findings:
        parts.append("<h2>Found</h2><table><tr><th>second<th>what<th>")
        parts += [
            (
                f"<tr><td>{f['t'] - _begin(found):.1f}<td "
                f"class=bad>{escape(f['what'])}<td>{escape(f['text'])}"
            )
            for f in findings
        ]
        parts.append("</table>")
    if unknown:
        parts.append(
            "<h2>Not known</h2><ul>" + "".join(f"<li>{escape(one)}" for one in unknown) + "</ul>"
        )
    return "\n".join(parts) + "\n"


def _spans(found: dict[str, Any]) -> list[dict[str, Any]]:
    return [span for member in found["members"].values() for span in member["spans"]]


def _begin(found: dict[str, Any]) -> float:
    return min((span["begin"] for span in _spans(found)), default=0.0)


def _rollout(found: dict[str, Any]) -> str:
    rows = [
        f"<tr><td>{one['t'] - _begin(found):.1f}<td>{one['order']}<td>{one['member']}"
        f"<td>{escape(one['step'])}<td>{escape(one['why'])}"
        for one in found["rollout"]
    ]
    head = (
        "<h2>Settings that some tried "
        "first</h2><table><tr><th>second<th>order<th>member<th>step<th>why"
    )
    return head + "".join(rows) + "</table>"


def _changes(changes: list[dict[str, Any]]) -> str:
    rows = [
        f"<tr><td>{c['order']}<td>{escape(', '.join(c['digests']))}"
        f"<td>{len(c['members'])}<td>{c['last_old_after_s']:.2f}"
        f"<td>{c['requests_under_older_since']}"
        for c in changes
    ]
    head = (
        "<tr><th>order<th>settings<th>members that acted on it<th>last acted on an older one, "
        "seconds after it was out<th>requests under older ones begun since"
    )
    return f"<h2>Changes</h2><table>{head}{''.join(rows)}</table>"


def _time_line(found: dict[str, Any]) -> str:
    """A row for each member.

    A colour for each order; dashes where it took nothing new; a mark where something was found.
    """
    begin = _begin(found)
    end = max((span["end"] for span in _spans(found)), default=begin + 1.0)
    scale = (WIDTH - LEFT - RIGHT) / max(end - begin, 0.001)
    place = {number: TOP + n * ROW for n, number in enumerate(sorted(found["members"], key=int))}
    height = TOP + len(place) * ROW + 34
    orders = sorted({span["order"] for span in _spans(found)})
    out = [
        (
            f"<svg viewBox='0 0 {WIDTH} {height}' role=img aria-label='time line of members "
            "by version'>"
        )
    ]
    for n in range(TICKS + 1):
        x = LEFT + (end - begin) * scale * n / TICKS
        out.append(
            f"<line class=tick x1={x:.1f} x2={x:.1f} y1={TOP - 8} y2={height - 30} "
            f"/><text x={x:.1f} y={TOP - 12} "
            f"text-anchor=middle>{(end - begin) * n / TICKS:.{0 if end - begin > 40 else 1}f} "
            "s</text>"
        )
    for number, y in place.items():
        out.append(f"<text x=8 y={y + 16}>member {number}</text>")
        for span in found["members"][number]["spans"]:
            x, width = (
                LEFT + (span["begin"] - begin) * scale,
                max(2.0, (span["end"] - span["begin"]) * scale),
            )
            tip = (
                f"order {span['order']}, settings {span['settings']}, {span['requests']} "
                f"requests; {span['why']}"
            )
            out.append(
                f"<rect x={x:.1f} y={y + 3} width={width:.1f} height={ROW - 8} rx=3 "
                f"style='fill:var(--c{orders.index(span['order']) % COLOURS})'>"
                f"<title>{escape(tip)}</title></rect>"
            )
            for a, b in span["shut_out"]:
                x = LEFT + (a - begin) * scale
                out.append(
                    f"<rect class=shut x={x:.1f} y={y + 5} "
                    f"width={max(2.0, (min(b, span['end']) - a) * scale):.1f} "
                    f"height={ROW - 12}><title>shut out</title></rect>"
                )
    for finding in found["findings"]:
        for number in finding["members"]:
            if str(number) in place:
                x = LEFT + (finding["t"] - begin) * scale
                out.append(
                    f"<text class=bad x={x:.1f} y={place[str(number)] + 17} "
                    f"style='fill:var(--bad)'>&#9650;<title>{escape(finding['text'])}</title></text>"
                )
    x = LEFT
    for place_, order in enumerate(orders):
        out.append(
            f"<rect x={x} y={height - 22} width=14 height=12 rx=2 "
            f"style='fill:var(--c{place_ % COLOURS})' /><text x={x + 19} "
            f"y={height - 12}>order {order}</text>"
        )
        x += 90
    out.append(
        f"<rect class=shut x={x} y={height - 22} width=14 height=12 /><text x={x + 19} "
        f"y={height - 12}>shut out</text></svg>"
    )
    return "".join(out)
