"""Construction of the command line application."""

import sys

from cleo.application import Application
from cleo.commands.command import Command

from bluebellusher.cli._commands import ConfigCheckCommand, ServeCommand, StatusCommand


def build_application(is_serving: bool = False) -> Application:
    """Return the application with its commands registered.

    A process that runs an entry (``is_serving``) registers only ``serve``, because
    the modules of the other commands would occupy memory until it stops.
    """
    application = Application("bluebellusher", "0.1.0")
    commands: list[Command] = [ServeCommand()]
    if not is_serving:
        from bluebellusher.cli.explain import ExplainCommand
        from bluebellusher.cli.rules_commands import RULES_COMMANDS

        commands += [ConfigCheckCommand(), StatusCommand(), ExplainCommand()]
        commands += [make_command() for make_command in RULES_COMMANDS]
    for command in commands:
        application.add(command)
    return application


def main() -> int:
    """Run the command named on the command line; return its exit code."""
    if sys.argv[1:] in (["--help"], ["-h"], ["help"]):
        # Without a command name, cleo prints the help of its ``list`` command. Run
        # ``list`` itself instead.
        sys.argv[1:] = ["list"]
    return build_application(is_serving=sys.argv[1:2] == ["serve"]).run()
