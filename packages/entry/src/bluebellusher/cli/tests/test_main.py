"""Tests of the command line application."""

import sys

import pytest

from bluebellusher.cli import main


@pytest.mark.parametrize("argument", ["--help", "-h", "help"])
def test_help_alone_lists_every_command(monkeypatch, capfd, argument):
    """Guards against top-level help that shows only the help of ``list``."""
    monkeypatch.setattr(sys, "argv", ["bluebellusher", argument])
    with pytest.raises(SystemExit) as exit_info:
        main()
    assert exit_info.value.code == 0
    output = capfd.readouterr().out
    assert "serve" in output and "rules forecast" in output
