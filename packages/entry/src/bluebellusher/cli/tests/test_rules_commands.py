"""Tests of the rules commands against a fake entry."""

import json
import pathlib
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest
from cleo.application import Application
from cleo.testers.command_tester import CommandTester

from bluebellusher.cli.rules_commands import RULES_COMMANDS

EXAMPLE_FOLDER = pathlib.Path(__file__).parents[6] / "examples" / "rules"
EXAMPLE_PATH = EXAMPLE_FOLDER / "tokachi.rules"
EXAMPLE_TEXT = EXAMPLE_PATH.read_text(encoding="utf-8")


class FakeEntry(ThreadingHTTPServer):
    """HTTP server that stores rules versions in memory, in place of an entry.

    With ``fault`` set, a change is stored but its answer is lost (``lose``) or replaced
    by status 504 (``504``) or by a redirect to the same path (``307``).
    """

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), RulesHandler)
        self.versions = [make_version(1, EXAMPLE_TEXT, "Haruka Sato")]
        self.state_by_change_id: dict[str, dict] = {}
        self.requests: list[dict] = []
        self.fault = ""

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f"http://127.0.0.1:{self.server_address[1]}"

    def change(self, change: dict) -> tuple[int, dict]:
        """Accept or refuse a change; return the HTTP status and the answer.

        A change must be based on the last version, and is stored once for each id.
        """
        self.requests.append(change)
        head = self.versions[-1]
        state = self.state_by_change_id.get(change["change_id"])
        if state is None and change["base_version"] != head["version"]:
            reason = "another change was accepted first"
            head_text, number = head["rules_text"], head["version"]
            return 409, {
                "state": "refused",
                "reason": reason,
                "head_version": number,
                "rules_text": head_text,
            }
        if state is None:
            number = head["version"] + 1
            self.versions.append(
                make_version(number, change["rules_text"], change["author"])
            )
            state = {"state": "accepted", "version": number}
            self.state_by_change_id[change["change_id"]] = state
        return 200, state


def make_version(number: int, text: str, author: str) -> dict:
    """Return a version in the JSON format of ``/admin/rules``."""
    accepted_wall_ms = 1_800_000_000_000 + number * 86_400_000
    return {
        "version": number,
        "rules_text": text,
        "author": author,
        "accepted_wall_ms": accepted_wall_ms,
    }


class RulesHandler(BaseHTTPRequestHandler):
    """Handler of the routes below ``/admin/rules``."""

    server: FakeEntry

    def do_GET(self) -> None:
        """Answer requests for the last version, all versions or one change."""
        name = self.path.removeprefix("/admin/rules")
        if name == "":
            self.answer(200, self.server.versions[-1])
        elif name == "/versions":
            self.answer(200, {"versions": self.server.versions[::-1]})
        else:
            state = self.server.state_by_change_id.get(name.rpartition("/")[2])
            self.answer(200 if state else 404, state or {})

    def do_POST(self) -> None:
        """Process a change, and answer unless a fault is set."""
        body = self.rfile.read(int(self.headers["Content-Length"]))
        status, content = self.server.change(json.loads(body))
        if self.server.fault == "lose":
            self.close_connection = True
            return
        self.answer(int(self.server.fault or status), content)

    def answer(self, status: int, content: dict) -> None:
        """Send a JSON answer."""
        body = json.dumps(content).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        if status == 307:
            self.send_header("Location", self.path)
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args: object) -> None:
        """Suppress the access log of the server."""


@pytest.fixture
def entry() -> Iterator[FakeEntry]:
    """Run a fake entry in a thread until the test ends."""
    server = FakeEntry()
    thread = threading.Thread(
        target=server.serve_forever, kwargs={"poll_interval": 0.01}
    )
    thread.start()
    yield server
    server.shutdown()
    thread.join()
    server.server_close()


def run_command(name: str, arguments: str) -> tuple[int, str, str]:
    """Run a command; return exit code, output and error output."""
    application = Application("bluebellusher")
    for command in RULES_COMMANDS:
        application.add(command())
    tester = CommandTester(application.find(name))
    code = tester.execute(arguments)
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def apply_rules(
    path: pathlib.Path, url: str, extra_arguments: str = ""
) -> tuple[int, str, str]:
    """Run ``rules apply`` as the author Mio."""
    return run_command(
        "rules apply", f"{path} --url {url} --author Mio {extra_arguments}"
    )


@pytest.fixture
def edited_path(tmp_path: pathlib.Path) -> pathlib.Path:
    """Return the path of the example rules with one engine fewer."""
    path = tmp_path / "new.rules"
    path.write_text(
        EXAMPLE_TEXT.replace("engines order-desk 3 ", "engines order-desk 2 ")
    )
    return path


def test_check_prints_every_error(tmp_path: pathlib.Path) -> None:
    """Guards against errors that are not printed, and against exit code 0."""
    path = tmp_path / "bad.rules"
    path.write_text(EXAMPLE_TEXT + "share nobody 2 # Mio: x\nshare kitami-mart\n")
    code, _, errors = run_command("rules check", str(path))
    assert code == 1
    assert "unknown customer 'nobody'" in errors
    assert "2 errors" in errors
    assert run_command("rules check", str(EXAMPLE_PATH))[0] == 0
    assert run_command("rules check", str(tmp_path / "absent"))[0] == 2


def test_forecast_formats_agree() -> None:
    """Guards against output formats that show different amounts."""
    base_arguments = f"{EXAMPLE_PATH} --month 2027-01 --format"
    content = json.loads(run_command("rules forecast", f"{base_arguments} json")[1])
    assert content["total"]["expected"] == "3258550.60"
    for output_format in ("table", "chart"):
        assert (
            "3,258,550.60"
            in run_command("rules forecast", f"{base_arguments} {output_format}")[1]
        )
    assert run_command("rules forecast", f"{base_arguments} pie")[0] == 2
    assert run_command("rules forecast", f"{EXAMPLE_PATH} --month 2027-13")[0] == 2


def test_plan_and_why_show_the_changed_rule_and_its_cost(
    edited_path: pathlib.Path,
) -> None:
    """Guards against a changed rule whose text or cost is not printed."""
    arguments = f"{EXAMPLE_PATH} {edited_path} --month 2027-01"
    for name in ("rules plan", "rules why"):
        code, output, _ = run_command(name, arguments)
        assert code == 0
        assert "engines order-desk 2" in output
        assert "-13,764.00" in output


def test_why_reads_the_output_of_history(
    entry: FakeEntry, edited_path: pathlib.Path, tmp_path: pathlib.Path
) -> None:
    """Guards against a history file that ``why`` cannot read."""
    apply_rules(edited_path, entry.url)
    code, table, _ = run_command("rules history", f"--url {entry.url}")
    assert code == 0
    assert "+0 -0 ~1" in table
    path = tmp_path / "history.json"
    output = run_command("rules history", f"--url {entry.url} --format json")[1]
    path.write_text(output)
    code, text, _ = run_command("rules why", f"1 2 --history {path} --month 2027-02")
    assert code == 0
    assert "version 2, accepted 2027-01-17 17:00:00+09:00" in text
    assert run_command("rules why", f"1 9 --history {path}")[0] == 2


def test_conflicting_change_is_refused_with_the_difference(
    entry: FakeEntry, edited_path: pathlib.Path, tmp_path: pathlib.Path
) -> None:
    """Guards against an operator who unknowingly overwrites another one's change.

    Both edit version 1; the change that arrives second must be refused.
    """
    text = run_command("rules history", f"--url {entry.url} --show 1")[1]
    conflicting_path = tmp_path / "mine.rules"
    conflicting_path.write_text(text.replace("weight skew 3 ", "weight skew 5 "))
    assert apply_rules(edited_path, entry.url)[0] == 0
    code, _, errors = apply_rules(conflicting_path, entry.url)
    assert code == 3
    assert "Version 2 is in force" in errors
    assert "~     engines order-desk 3" in errors
    assert "~     weight skew 5" in errors
    assert len(entry.versions) == 2


@pytest.mark.parametrize("fault", ["lose", "504"])
def test_state_after_a_lost_answer_can_be_settled(
    entry: FakeEntry, edited_path: pathlib.Path, fault: str
) -> None:
    """Guards against a change that is applied twice after its answer was lost.

    The lost answer must also not count as a refusal.
    """
    entry.fault = fault
    code, _, errors = apply_rules(edited_path, entry.url, "--without-domain memuro")
    assert code == 4
    sent_change = entry.requests[0]
    assert sent_change["without_domains"] == ["memuro"]
    assert f"rules status {sent_change['change_id']} --url {entry.url}" in errors
    entry.fault = ""
    status_arguments = f"{sent_change['change_id']} --url {entry.url}"
    assert run_command("rules status", status_arguments)[:2] == (
        0,
        "Accepted as version 2.\n",
    )
    retry_arguments = f"--change-id {sent_change['change_id']} --base-version 1"
    assert apply_rules(edited_path, entry.url, retry_arguments)[0] == 0
    assert len(entry.versions) == 2
    assert run_command("rules status", f"never-sent --url {entry.url}")[0] == 4


def test_redirect_does_not_send_a_change_again(
    entry: FakeEntry, edited_path: pathlib.Path
) -> None:
    """Guards against a change that a redirect sends a second time.

    A redirect does not show whether the change was accepted.
    """
    entry.fault = "307"
    assert apply_rules(edited_path, entry.url, "--without-domain memuro")[0] == 4
    assert len(entry.requests) == 1


def test_unreachable_entry_is_not_an_unknown_state(edited_path: pathlib.Path) -> None:
    """Guards against the state "unknown" for a change that was never sent."""
    assert apply_rules(edited_path, "http://127.0.0.1:9")[0] == 5
    assert apply_rules(edited_path, "nowhere")[0] == 2
