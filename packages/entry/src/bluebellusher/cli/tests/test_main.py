"""Guards against a command line that does not explain itself."""

import sys

import pytest

from bluebellusher.cli import main


@pytest.mark.parametrize("argument", ["--help", "-h", "help"])
def test_help_alone_lists_every_command(monkeypatch, capfd, argument):
    """Guards against help that only describes the command ``list``."""
    monkeypatch.setattr(sys, "argv", ["bluebellusher", argument])
    with pytest.raises(SystemExit) as ended:
        main()
    assert ended.value.code == 0
    shown = capfd.readouterr().out
    assert "serve" in shown and "rules forecast" in shown
