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
EXIT_UNREADABLE_FILE = 2
# Events that change the recorded state of a process, such as its configuration, its
# connections or a lease. The timeline of a request ends with the last event of each
# kind and subject that its entry logged before the end of the request.
STATE_EVENTS = frozenset(
    (
        "configuration-in-force",
        "domain-evacuated",
        "domain-restored",
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
# Event that a process logs at its start. State recorded by a previous start of the
# process is not shown.
START_EVENT = "started"
# Longest time in seconds between the first and the last of the adjacent lines of one
# event that are merged into one line. When a failure domain is cut off, for example,
# all of its agents are lost at once.
MERGE_WINDOW_S = 0.1
# Time in seconds before the first line of a request from which the events of all
# processes at its endpoints are counted.
ACTIVITY_LEAD_S = 2.0
# Actions of orders that halt or release the whole group of a rank. They are shown for
# every rank, other orders only for the endpoints of the request.
GROUP_ORDER_ACTIONS = frozenset(("hold", "go"))
# Maximum number of words that a log collector may put before a line.
N_MAX_PREFIX_WORDS = 3
# Fields that name the subject of an event; the first one that is present counts.
SUBJECT_FIELDS = ("endpoint", "table", "peer", "lease", "group", "domain")


@dataclass(frozen=True, slots=True)
class LogLine:
    """Parsed line of a log.

    Parameters
    ----------
    source : str
        Name of the file, followed by that of the process if a log collector added it.
    time_s : float
        Unix time of the line, in seconds.
    event : str
        Name of the event.
    field_by_name : dict
        Values of all fields.
    text : str
        The line as it was read, without surrounding spaces.
    """

    source: str
    time_s: float
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
    >>> line.time_s, line.event, line.field_by_name["request"]
    (12.5, 'e', 'r1')
    """
    try:
        words = shlex.split(text)
    except ValueError:
        return None
    fields = dict(word.split("=", 1) for word in words if "=" in word)
    prefix = [word for word in words[:N_MAX_PREFIX_WORDS] if "=" not in word]
    if prefix:
        source = f"{source}:{prefix[-1]}"
    if "event" not in fields:
        return None
    try:
        time_s = (
            float(fields["ts"]) if "ts" in fields else int(fields["time_ms"]) / 1000
        )
    except (KeyError, ValueError):
        return None
    return LogLine(source, time_s, fields["event"], fields, text.strip())


def read_logs(paths: Iterable[str]) -> Iterator[LogLine]:
    """Yield the parsed lines of all files, one file after the other."""
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as file:
            for text in file:
                line = parse_line(path, text)
                if line is not None:
                    yield line


def explain(searched_id: str, lines: Iterable[LogLine]) -> list[str]:
    """Return the timeline of a request, with the state that explains its outcome.

    The lines about the request come first, in order of time. Then follow the recorded
    state of its entry when the request ended, and the activity of all processes at its
    endpoints. Without a line about the request the result is empty.

    Parameters
    ----------
    searched_id : str
        Id that the entry assigned to the request, or id that the caller assigned to
        its attempt.
    lines : iterable of LogLine
        Lines from the logs of any number of processes, in any order.
    """
    lines = sorted(lines, key=lambda line: line.time_s)
    request_ids = {searched_id}
    for line in lines:
        if line.field_by_name.get("caller_attempt") == searched_id:
            request_ids.add(line.field_by_name.get("request", searched_id))
    request_lines = [
        line for line in lines if line.field_by_name.get("request") in request_ids
    ]
    if not request_lines:
        return []
    timeline = [f"{line.time_s:.3f} {line.text}" for line in request_lines]
    sources = {line.source for line in request_lines}
    endpoints = {line.field_by_name.get("endpoint", "") for line in request_lines}
    recorded_state = _describe_recorded_state(
        lines, sources, endpoints, request_lines[-1].time_s
    )
    activity = _describe_activity(
        lines,
        endpoints - {""},
        request_lines[0].time_s - ACTIVITY_LEAD_S,
        request_lines[-1].time_s,
    )
    return [*timeline, "", *recorded_state, *activity]


def _describe_recorded_state(
    lines: list[LogLine], sources: set[str], endpoints: set[str], end_s: float
) -> list[str]:
    """Return the last known state of the processes ``sources`` at a Unix time.

    Events about endpoints other than ``endpoints`` are left out.
    """
    last_by_subject: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        is_state_event = line.event in STATE_EVENTS and line.time_s <= end_s
        if not is_state_event or line.source not in sources:
            continue
        if line.event == START_EVENT:
            last_by_subject.clear()
        fields = line.field_by_name
        is_other_endpoint = "endpoint" in fields and fields["endpoint"] not in endpoints
        if not is_other_endpoint:
            kind = line.event.split("-")[0]
            last_by_subject[kind, _get_subject(line)] = line
    last_events = sorted(last_by_subject.values(), key=lambda line: line.time_s)
    state_lines = [
        f"recorded {end_s - line.time_s:.3f} s before: {text}"
        for line, text in _merge_adjacent(last_events)
    ]
    return ["State recorded by the entry when the request ended:", *state_lines]


def _get_subject(line: LogLine) -> str:
    """Return the endpoint, table, peer, lease or group of an event; may be empty."""
    fields = line.field_by_name
    return next((fields[f] for f in SUBJECT_FIELDS if f in fields), "")


def _merge_adjacent(lines: list[LogLine]) -> Iterator[tuple[LogLine, str]]:
    """Yield lines with their text; merge adjacent lines of the same event.

    The first of the merged lines stands for all; its text ends with the subjects of the
    others.
    """
    index = 0
    while index < len(lines):
        first = lines[index]
        mergeable = [
            line
            for line in lines[index:]
            if line.event == first.event
            and line.time_s - first.time_s <= MERGE_WINDOW_S
        ]
        # Merge only adjacent lines, so that the output stays in order of time.
        n_merged = 1
        while (
            n_merged < len(mergeable) and lines[index + n_merged] is mergeable[n_merged]
        ):
            n_merged += 1
        other_subjects = ", ".join(
            _get_subject(line) for line in lines[index + 1 : index + n_merged]
        )
        yield (
            first,
            f"{first.text} (also {other_subjects})" if other_subjects else first.text,
        )
        index += n_merged


def _describe_activity(
    lines: list[LogLine], endpoints: set[str], start_s: float, end_s: float
) -> list[str]:
    """Return the counts of attempt events at each endpoint, and orders to ranks.

    The counts cover the logs of all processes between two Unix times.
    """
    counter_by_endpoint: dict[str, Counter[str]] = {
        endpoint: Counter() for endpoint in endpoints
    }
    orders: list[LogLine] = []
    for line in lines:
        if not start_s <= line.time_s <= end_s:
            continue
        fields = line.field_by_name
        endpoint = fields.get("endpoint", "")
        if line.event == "map-order":
            is_rank_of_request = fields.get("rank") in endpoints
            if is_rank_of_request or fields.get("action") in GROUP_ORDER_ACTIONS:
                orders.append(line)
        elif endpoint in endpoints and line.event.startswith("attempt-"):
            counter_by_endpoint[endpoint][line.event] += 1
    activity_lines = []
    for endpoint, n_by_event in sorted(counter_by_endpoint.items()):
        counts = ", ".join(f"{n} {event}" for event, n in sorted(n_by_event.items()))
        activity_lines.append(f"{endpoint}: {counts or 'nothing'}")
    if not activity_lines:
        return []
    activity_lines += [f"{line.time_s:.3f} {line.text}" for line in orders]
    title = (
        f"Events at its endpoints in all logs, from {ACTIVITY_LEAD_S:g} s before its "
        "first line to its last:"
    )
    return ["", title, *activity_lines]


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
        searched_id, paths = self.argument("id"), self.argument("files")
        try:
            timeline = explain(searched_id, read_logs(paths))
        except OSError as error:
            self.line_error(f"explain: {error.filename}: {error.strerror}")
            return EXIT_UNREADABLE_FILE
        if not timeline:
            n_files = len(paths)
            self.line_error(f"explain: {searched_id}: not found in {n_files} files")
            return EXIT_NOT_FOUND
        # Bypass cleo's output, which would interpret tags in log lines as markup.
        sys.stdout.write("\n".join(timeline) + "\n")
        return EXIT_OK
