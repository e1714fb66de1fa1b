"""The command ``explain``, which shows the timeline of one request from logs."""

import shlex
import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

EXIT_OK = 0
EXIT_NOT_FOUND = 1
EXIT_BAD_ARGUMENTS = 2
# Events that change the recorded state of a process, such as its configuration, its
# connections or a lease. The timeline of a request ends with the last event of each
# kind and subject that its entry logged before the end of the request.
BELIEF_EVENTS = frozenset(
    (
        "configuration-in-force",
        "endpoint-ready",
        "endpoint-draining",
        "endpoint-leaving",
        "endpoint-paused",
        "endpoint-forgotten",
        "store-lost",
        "store-regained",
        "store-history-lost",
        "peer-connected",
        "peer-lost",
        "agent-lost",
        "lease-held",
        "lease-lost",
        "map-wanted",
        "stopping",
        "started",
    )
)
# Event that a process logs at its start. It discards the recorded state of previous
# starts.
START_EVENT = "started"
# Adjacent lines of the same event within this time, in seconds, are merged into one.
# When a failure domain is cut off, for example, all of its agents are lost at once.
SAME_TIME_S = 0.1
# The activity of all processes at the endpoints of a request is counted from this time
# before the first line of the request, in seconds.
AROUND_S = 2.0
# Actions of orders that halt or release the whole group of a rank. They are shown for
# every rank, other orders only for the endpoints of the request.
GROUP_ACTIONS = frozenset(("hold", "go"))
# Maximum number of words that a log collector may put before a line.
PREFIX_WORDS = 3
# Fields that name the subject of an event; the first one that is present counts.
SUBJECT_FIELDS = ("endpoint", "table", "peer", "lease", "group")


@dataclass(frozen=True, slots=True)
class LogLine:
    """Parsed line of a log.

    Parameters
    ----------
    source : str
        Name of the file, followed by that of the process if a log collector added it.
    at_s : float
        Unix time of the line, in seconds.
    event : str
        Name of the event.
    field_by_name : dict
        Values of all fields.
    text : str
        The line as it was read, without surrounding spaces.
    """

    source: str
    at_s: float
    event: str
    field_by_name: dict[str, str]
    text: str


def parse_line(source: str, text: str) -> LogLine | None:
    """Parse a line of key=value pairs; return ``None`` for any other line.

    A log collector may put a prefix before the line. The last word of the prefix then
    names the process.

    Examples
    --------
    >>> line = parse_line("a.log", "x ts=12.500 event=e request=r1")
    >>> line.at_s, line.event, line.field_by_name["request"]
    (12.5, 'e', 'r1')
    """
    try:
        words = shlex.split(text)
    except ValueError:
        return None
    fields = dict(word.split("=", 1) for word in words if "=" in word)
    prefix = [word for word in words[:PREFIX_WORDS] if "=" not in word]
    if prefix:
        source = f"{source}:{prefix[-1]}"
    if "event" not in fields:
        return None
    try:
        at_s = float(fields["ts"]) if "ts" in fields else int(fields["time_ms"]) / 1000
    except (KeyError, ValueError):
        return None
    return LogLine(source, at_s, fields["event"], fields, text.strip())


def read_logs(paths: Iterable[str]) -> Iterator[LogLine]:
    """Yield the parsed lines of all files, one file after the other."""
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as file:
            for text in file:
                line = parse_line(path, text)
                if line is not None:
                    yield line


def explain(wanted_id: str, lines: Iterable[LogLine]) -> list[str]:
    """Return the timeline of a request, with the state that explains its outcome.

    The lines about the request come first, in order of time. Then follow the recorded
    state of its entry when the request ended, and the activity of all processes at its
    endpoints. Without a line about the request the result is empty.

    Parameters
    ----------
    wanted_id : str
        Id that the entry assigned to the request, or id that the caller assigned to
        its attempt.
    lines : iterable of LogLine
        Lines from the logs of any number of processes, in any order.
    """
    lines = sorted(lines, key=lambda line: line.at_s)
    request_ids = {wanted_id}
    for line in lines:
        if line.field_by_name.get("caller_attempt") == wanted_id:
            request_ids.add(line.field_by_name.get("request", wanted_id))
    story = [line for line in lines if line.field_by_name.get("request") in request_ids]
    if not story:
        return []
    shown = [f"{line.at_s:.3f} {line.text}" for line in story]
    sources = {line.source for line in story}
    endpoints = {line.field_by_name.get("endpoint", "") for line in story}
    beliefs = _beliefs(lines, sources, endpoints, story[-1].at_s)
    around = _around(lines, endpoints - {""}, story[0].at_s - AROUND_S, story[-1].at_s)
    return [*shown, "", *beliefs, *around]


def _beliefs(
    lines: list[LogLine], sources: set[str], endpoints: set[str], until_s: float
) -> list[str]:
    """Return the last known state of the processes ``sources`` at a Unix time.

    Events about endpoints other than ``endpoints`` are left out.
    """
    last_by_subject: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        is_belief = line.event in BELIEF_EVENTS and line.at_s <= until_s
        if not is_belief or line.source not in sources:
            continue
        if line.event == START_EVENT:
            last_by_subject.clear()
        fields = line.field_by_name
        is_other = "endpoint" in fields and fields["endpoint"] not in endpoints
        if not is_other:
            kind = line.event.split("-")[0]
            last_by_subject[kind, _subject(line)] = line
    found = sorted(last_by_subject.values(), key=lambda line: line.at_s)
    shown = [
        f"recorded {until_s - line.at_s:.3f} s before: {text}"
        for line, text in _merge(found)
    ]
    return ["State recorded by the entry when the request ended:", *shown]


def _subject(line: LogLine) -> str:
    """Return the endpoint, table, peer, lease or group of an event; may be empty."""
    fields = line.field_by_name
    return next((fields[f] for f in SUBJECT_FIELDS if f in fields), "")


def _merge(lines: list[LogLine]) -> Iterator[tuple[LogLine, str]]:
    """Yield lines with their text; merge adjacent lines of the same event.

    The first of the merged lines stands for all; its text ends with the subjects of the
    others.
    """
    at = 0
    while at < len(lines):
        first = lines[at]
        same = [
            line
            for line in lines[at:]
            if line.event == first.event and line.at_s - first.at_s <= SAME_TIME_S
        ]
        # Merge only adjacent lines, so that the output stays in order of time.
        n_same = 1
        while n_same < len(same) and lines[at + n_same] is same[n_same]:
            n_same += 1
        others = ", ".join(_subject(line) for line in lines[at + 1 : at + n_same])
        yield first, f"{first.text} (also {others})" if others else first.text
        at += n_same


def _around(
    lines: list[LogLine], endpoints: set[str], from_s: float, until_s: float
) -> list[str]:
    """Return the counts of attempt events at each endpoint, and orders to ranks.

    The counts cover the logs of all processes between two Unix times.
    """
    n_by_event: dict[str, Counter[str]] = {
        endpoint: Counter() for endpoint in endpoints
    }
    orders: list[LogLine] = []
    for line in lines:
        if not from_s <= line.at_s <= until_s:
            continue
        fields = line.field_by_name
        endpoint = fields.get("endpoint", "")
        if line.event == "map-order":
            is_near = fields.get("rank") in endpoints
            if is_near or fields.get("action") in GROUP_ACTIONS:
                orders.append(line)
        elif endpoint in endpoints and line.event.startswith("attempt-"):
            n_by_event[endpoint][line.event] += 1
    shown = []
    for endpoint, n_by_name in sorted(n_by_event.items()):
        counts = ", ".join(f"{n} {event}" for event, n in sorted(n_by_name.items()))
        shown.append(f"{endpoint}: {counts or 'nothing'}")
    if not shown:
        return []
    shown += [f"{line.at_s:.3f} {line.text}" for line in orders]
    title = (
        f"Events at its endpoints in all logs, from {AROUND_S:g} s before its first "
        "line to its last:"
    )
    return ["", title, *shown]


class ExplainCommand(Command):
    """Command that shows the timeline of one request from log files."""

    name = "explain"
    description = "Show the timeline of one request from the logs of all processes."
    help = (
        "Takes the id of a request, or the id that the caller assigned to its\n"
        "attempt, and log files of any number of processes. Prints every line about\n"
        "the request in order of time, the state that its entry had recorded when\n"
        "the request ended, and the events of all processes at the same endpoints.\n\n"
        "  bluebellusher explain edge-1.1767541238551.r17 entry-*.log\n\n"
        "Exit codes: 0 found, 1 not found in these files, 2 unreadable file."
    )
    arguments: ClassVar[list[Argument]] = [
        argument("id", "Id of the request or of the caller's attempt."),
        argument("files", "Log files.", multiple=True),
    ]

    def handle(self) -> int:
        """Print the timeline; return the exit code."""
        wanted_id, paths = self.argument("id"), self.argument("files")
        try:
            story = explain(wanted_id, read_logs(paths))
        except OSError as error:
            self.line_error(f"explain: {error.filename}: {error.strerror}")
            return EXIT_BAD_ARGUMENTS
        if not story:
            n_files = len(paths)
            self.line_error(f"explain: {wanted_id}: not found in {n_files} files")
            return EXIT_NOT_FOUND
        # Bypass cleo's output, which would interpret tags in log lines as markup.
        sys.stdout.write("\n".join(story) + "\n")
        return EXIT_OK
