"""Measurements that print one line per figure, with its target and baseline."""
