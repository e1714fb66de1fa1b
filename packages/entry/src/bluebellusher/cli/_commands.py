"""The commands ``serve``, ``config check`` and ``status``."""

import json
import os
import urllib.error
import urllib.request
from typing import Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from bluebellusher.settings import (
    SettingsError,
    load_gateway_settings,
    load_settings,
)

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
_STATUS_TIMEOUT_S = 5
# Upper bound of the document of an entry, in bytes.
MAX_STATUS_BYTES = 16 * 1024 * 1024


class ServeCommand(Command):
    """Command that runs an entry until SIGTERM or SIGINT."""

    name = "serve"
    description = "Run an entry, which takes requests from callers and routes them."
    help = (
        "Reads the settings file, connects to the agents and peers listed there and\n"
        "serves callers over HTTP until SIGTERM or SIGINT. Then it reports that it is\n"
        "not ready, accepts no new connections, finishes all requests in progress and\n"
        "exits.\n\n"
        "  bluebellusher serve --config entry.json5\n\n"
        "Log lines go to standard output, one event per line as key=value pairs.\n"
        "Exit codes: 0 stopped by a signal, 1 could not listen, 2 invalid settings."
    )
    options: ClassVar[list[Option]] = [
        option("config", "c", "Settings file, JSON with comments.", flag=False)
    ]

    def handle(self) -> int:
        """Read the settings and run the entry; return the exit code."""
        path = self.option("config")
        if not path:
            self.line_error("serve: --config: found nothing: expected a file name")
            return EXIT_BAD_SETTINGS
        try:
            settings = load_settings(path)
        except SettingsError as error:
            self.line_error(str(error))
            return EXIT_BAD_SETTINGS
        from bluebellusher.cli._entry import run_entry

        try:
            run_entry(settings)
        except OSError as error:
            self.line_error(f"serve: cannot listen: {error}")
            return EXIT_FAILED
        return EXIT_OK


class ConfigCheckCommand(Command):
    """Command that checks a settings file."""

    name = "config check"
    description = "Check a settings file and report every problem at once."
    help = (
        "Prints one line for each problem: the file, the path or line of the value,\n"
        "the value found and the value expected. Secrets are never printed. With\n"
        "--gateway, checks settings of an entry on a platform with shared tables.\n\n"
        "  bluebellusher config check entry.json5\n\n"
        "Exit codes: 0 valid settings, 2 invalid settings or unreadable file."
    )
    arguments: ClassVar[list[Argument]] = [argument("file", "Settings file to check.")]
    options: ClassVar[list[Option]] = [
        option("gateway", "g", "Check settings of an entry on a platform.")
    ]

    def handle(self) -> int:
        """Check the file; print a summary or every problem."""
        path = self.argument("file")
        if self.option("gateway"):
            return self._check_gateway(path)
        try:
            settings = load_settings(path)
        except SettingsError as error:
            self.line_error(str(error))
            return EXIT_BAD_SETTINGS
        self.line(
            f"{path}: ok: instance {settings.instance_id} in "
            f"{settings.failure_domain}, {len(settings.services)} services, "
            f"{len(settings.customers)} customers, {len(settings.agents)} agents"
        )
        return EXIT_OK

    def _check_gateway(self, path: str) -> int:
        """Check the settings of an entry on a platform; return the exit code."""
        try:
            settings = load_gateway_settings(path)
        except SettingsError as error:
            self.line_error(str(error))
            return EXIT_BAD_SETTINGS
        self.line(
            f"{path}: ok: instance {settings.instance_id} in "
            f"{settings.failure_domain}, callers at {settings.callers}, "
            f"store at {settings.store}, {len(settings.seeds)} seeds"
        )
        return EXIT_OK


class StatusCommand(Command):
    """Command that prints the state of a running entry."""

    name = "status"
    description = "Show members, endpoints, configuration and claims of an entry."
    help = (
        "Reads /admin/status of a running entry. The operator's token is read from\n"
        "the environment variable BLUEBELLUSHER_ADMIN_TOKEN, because an option would\n"
        "show it in the list of processes.\n\n"
        "  bluebellusher status --url http://127.0.0.1:8080\n\n"
        "Exit codes: 0 status printed, 1 no answer or access denied, 2 invalid\n"
        "arguments."
    )
    options: ClassVar[list[Option]] = [
        option("url", "u", "Address of the entry, http://HOST:PORT.", flag=False),
        option("json", "j", "Print the answer as JSON."),
    ]

    def handle(self) -> int:
        """Fetch and print the status."""
        url = self.option("url")
        if not url or not url.startswith("http://"):
            self.line_error("status: --url: expected http://HOST:PORT")
            return EXIT_BAD_SETTINGS
        try:
            status = _fetch_status(url)
        except (OSError, ValueError) as error:
            self.line_error(f"status: {url}: {error}")
            return EXIT_FAILED
        if self.option("json"):
            self.line(json.dumps(status, indent=2))
        else:
            for line in format_status(status):
                self.line(line)
        return EXIT_OK


def _fetch_status(url: str) -> dict[str, Any]:
    """Return the document of ``/admin/status``.

    Raises ``OSError`` without an answer, and ``ValueError`` for an HTTP error or an
    answer that is not a JSON object.
    """
    credential = os.environ.get("BLUEBELLUSHER_ADMIN_TOKEN", "")
    request = urllib.request.Request(
        url.rstrip("/") + "/admin/status",
        headers={"Authorization": f"Bearer {credential}"},
    )
    # Connect to the entry directly, even if the environment names an HTTP proxy.
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=_STATUS_TIMEOUT_S) as answer:
            document = json.loads(answer.read(MAX_STATUS_BYTES))
    except urllib.error.HTTPError as error:
        hint = "BLUEBELLUSHER_ADMIN_TOKEN: expected an operator's token"
        raise ValueError(hint if error.code == 401 else str(error)) from None
    if not isinstance(document, dict):
        raise ValueError("expected a JSON object")
    return document


def format_status(status: dict[str, Any]) -> list[str]:
    """Return the document of ``/admin/status`` as lines of text for an operator."""
    lines = [
        f"entry {status['instance_id']} in {status['failure_domain']}: "
        f"{'ready' if status['is_ready'] else 'not ready'}, "
        f"{status['n_requests']} requests in progress",
        f"configuration version {status['config_version']}, "
        f"age {status['config_age_ms']} ms",
        f"batches of claims being written: {status['n_claims_in_flight']}",
        f"members: {len(status['members'])}",
    ]
    lines += [
        f"  {m['instance_id']} in {m['failure_domain']}, last message {m['age_ms']} ms "
        f"ago, configuration version {m['config_version']}"
        for m in status["members"]
    ]
    lines.append(f"endpoints: {len(status['endpoints'])}")
    lines += [
        f"  {e['endpoint_id']} in {e['failure_domain']}: {e['state']}, "
        f"{e['n_attempts']} attempts, last message {e['age_ms']} ms ago, "
        f"services {','.join(e['services'])}"
        for e in status["endpoints"]
    ]
    return lines
