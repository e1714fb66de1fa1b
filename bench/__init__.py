"""Measurements; each figure is one line with its target and baseline."""
