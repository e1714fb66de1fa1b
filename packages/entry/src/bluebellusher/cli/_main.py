"""Commands and their registration."""

import importlib
import importlib.util

from cleo.application import Application
from cleo.commands.command import Command

from bluebellusher.cli._commands import ConfigCheckCommand, ServeCommand, StatusCommand


def build_application() -> Application:
    """Return the application with every command that is installed."""
    application = Application("bluebellusher", "0.1.0")
    commands: list[Command] = [ServeCommand(), ConfigCheckCommand(), StatusCommand()]
    for command in commands + _rules_commands():
        application.add(command)
    return application


def _rules_commands() -> list[Command]:
    name = "bluebellusher.cli.rules_commands"
    if importlib.util.find_spec(name) is None:
        return []
    module = importlib.import_module(name)
    return list(getattr(module, "COMMANDS", ()))


def main() -> int:
    """Run the command named on the command line; return its exit code."""
    return build_application().run()
