"""Hypothesis strategies for valid rules files, used by tests of rules and billing."""

from hypothesis import strategies as st

COMMON_RULES = """currency JPY # Aiko Mori: yen
month-zone {zone} # Aiko Mori: calendar
capacity writer 20 # Jun Oda: hall
capacity desk 4 # Jun Oda: hall
engine-price writer 41.5 per hour # Aiko Mori: lease
engine-price desk 3 per hour # Aiko Mori: lease
model large on writer # Jun Oda: letters
model small on writer # Jun Oda: notes
token-price large input 60 per million # Aiko Mori: list
token-price large cached 12.5 per million # Aiko Mori: list
token-price large output 320 per million # Aiko Mori: list
token-price small input 15 per million # Aiko Mori: list
token-price small cached 3 per million # Aiko Mori: list
token-price small output 80.25 per million # Aiko Mori: list
"""
ZONES = st.sampled_from(
    ["Asia/Tokyo", "America/Mexico_City", "Europe/Berlin", "America/New_York", "UTC"]
)
TIMES_OF_DAY = st.builds(
    lambda hour, minute: f"{hour:02d}:{minute:02d}",
    st.integers(0, 23),
    st.integers(0, 59),
)
DAYS = st.sampled_from(
    ["", "on Mon-Fri", "on Sat,Sun", "on Fri-Mon", "on 2027-03-10..2027-04-02"]
)


@st.composite
def schedules(draw: st.DrawFn) -> str:
    """Draw the text of a schedule: time range, days and zone."""
    begin, end = draw(TIMES_OF_DAY), draw(TIMES_OF_DAY)
    time_range = (
        f"from {begin} to {end} " if begin != end and draw(st.booleans()) else ""
    )
    return f"{time_range}{draw(DAYS)} {draw(ZONES)}".strip()


@st.composite
def customer_rules(draw: st.DrawFn, customer: str) -> list[str]:
    """Draw the rules of one customer: budget, ``when-exhausted``, rate and load."""
    lines = [f"customer {customer}"]
    unit = draw(st.sampled_from(["JPY", "tokens"]))
    max_budget = 60_000 if unit == "JPY" else 200_000_000
    budget = draw(st.integers(0, max_budget))
    rate = draw(st.none() | st.integers(1, 4000))
    has_budget = rate is None or draw(st.booleans())
    if has_budget:
        lines.append(f"budget {customer} {budget} {unit} per month")
        action = draw(st.sampled_from(["refuse", "lower-priority", "cheaper-model"]))
        model = " small" if action == "cheaper-model" else ""
        extra_unit = draw(st.sampled_from(["JPY", "tokens"]))
        limit = f" up to {draw(st.integers(0, 20_000_000))} {extra_unit}"
        if action == "refuse" or (rate and draw(st.booleans())):
            limit = ""
        lines.append(f"when-exhausted {customer} {action}{model}{limit}")
    if rate is not None:
        lines.append(f"rate {customer} {rate} tokens per second")
    n_requests = draw(st.integers(0, 20_000))
    if rate is not None:
        n_requests = min(n_requests, rate * 60 // 900)
    counts = f"{n_requests} requests per day input 300 cached 200 output 400"
    model = "large" if has_budget else draw(st.sampled_from(["large", "small"]))
    lines.append(f"load {customer} {model} {counts} {draw(schedules())}")
    return lines


@st.composite
def rules_texts(draw: st.DrawFn) -> str:
    """Draw the text of a rules file that passes every check."""
    zone = draw(ZONES)
    lines = [f"engines writer {draw(st.integers(0, 20))} {zone}"]
    if draw(st.booleans()):
        window = f"from {draw(TIMES_OF_DAY)} to 23:59 on Mon-Fri"
        if "23:59 to 23:59" not in window:
            lines.append(f"engines writer {draw(st.integers(0, 20))} {window} {zone}")
    for i in range(draw(st.integers(0, 3))):
        lines += draw(customer_rules(f"c{i}"))
    comment = "# Rin Ogawa: test of line"
    body = "".join(f"{line} {comment} {i}\n" for i, line in enumerate(lines))
    return COMMON_RULES.format(zone=zone) + body
