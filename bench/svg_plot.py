"""Small line charts as SVG text, without libraries."""

from dataclasses import dataclass

WIDTH, HEIGHT = 640, 360
LEFT, RIGHT, TOP, BOTTOM = 60, 190, 40, 50
COLORS = ("#000000", "#d55e00", "#0072b2", "#009e73", "#cc79a7", "#e69f00")


@dataclass(frozen=True, slots=True)
class Chart:
    """One chart; every series has a value for each label of the x axis."""

    title: str
    x_label: str
    y_label: str
    x_names: tuple[str, ...]
    values_by_series: dict[str, list[float]]
    y_max: float
    target: float | None = None


def draw_chart(chart: Chart) -> str:
    """Return the chart as an SVG document; values above ``y_max`` are cut."""
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
        'font-family="sans-serif" font-size="11">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        _text(LEFT, 20, chart.title, size=13),
        _text(LEFT, HEIGHT - 10, chart.x_label),
        _text(8, TOP - 8, chart.y_label),
    ]
    parts += _draw_axes(chart)
    for index, (name, values) in enumerate(chart.values_by_series.items()):
        parts += _draw_series(chart, index, name, values)
    return "\n".join([*parts, "</svg>", ""])


def _draw_axes(chart: Chart) -> list[str]:
    parts = []
    for tick in range(5):
        value = chart.y_max * tick / 4
        y = _y(chart, value)
        parts.append(_line(LEFT, y, WIDTH - RIGHT, y, "#dddddd"))
        parts.append(_text(20, y + 4, f"{value:.4g}"))
    for index, name in enumerate(chart.x_names):
        parts.append(_text(_x(chart, index) - 10, HEIGHT - BOTTOM + 16, name))
    if chart.target is not None:
        y = _y(chart, chart.target)
        line = _line(LEFT, y, WIDTH - RIGHT, y, "#888888")
        parts.append(line.replace("/>", ' stroke-dasharray="5 4"/>'))
        parts.append(_text(WIDTH - RIGHT + 5, y + 4, f"target {chart.target:g}"))
    return parts


def _draw_series(chart: Chart, index: int, name: str, values: list[float]) -> list[str]:
    color = COLORS[index % len(COLORS)]
    points = [(_x(chart, i), _y(chart, value)) for i, value in enumerate(values)]
    path = " ".join(f"{x:.1f},{y:.1f}" for x, y in points)
    y_legend = TOP + 16 * index
    x_legend = WIDTH - RIGHT + 60
    return [
        f'<polyline points="{path}" fill="none" stroke="{color}" stroke-width="2"/>',
        *(
            f'<circle cx="{x:.1f}" cy="{y:.1f}" r="3" fill="{color}"/>'
            for x, y in points
        ),
        _line(x_legend, y_legend, x_legend + 14, y_legend, color),
        _text(x_legend + 18, y_legend + 4, name),
    ]


def _x(chart: Chart, index: int) -> float:
    n_steps = max(1, len(chart.x_names) - 1)
    return LEFT + 15 + index * (WIDTH - LEFT - RIGHT - 30) / n_steps


def _y(chart: Chart, value: float) -> float:
    share = min(value, chart.y_max) / chart.y_max
    return HEIGHT - BOTTOM - share * (HEIGHT - TOP - BOTTOM)


def _text(x: float, y: float, text: str, size: int = 11) -> str:
    return f'<text x="{x:.1f}" y="{y:.1f}" font-size="{size}">{text}</text>'


def _line(x1: float, y1: float, x2: float, y2: float, color: str) -> str:
    ends = f'x1="{x1:.1f}" y1="{y1:.1f}" x2="{x2:.1f}" y2="{y2:.1f}"'
    return f'<line {ends} stroke="{color}"/>'
