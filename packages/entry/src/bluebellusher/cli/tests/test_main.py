"""Tests of the command line application."""

import sys

import pytest

from bluebellusher.cli import main


@pytest.mark.parametrize("argument", ["--help", "-h", "help"])
def test_help_alone_lists_every_command(monkeypatch, capfd, argument):
    """Guards against top-level help that shows only the help of ``list``."""
    monkeypatch.setattr(sys, "argv", ["bluebellusher", argument])
    with pytest.raises(SystemExit) as ended:
        main()
    assert ended.value.code == 0
    shown = capfd.readouterr().out
    assert "serve" in shown and "rules forecast" in shown
