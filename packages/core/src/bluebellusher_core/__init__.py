"""Decisions and wire codec of the bluebellusher load balancer.

Nothing in this package performs I/O, reads a clock, draws from a global random
generator or writes a log. Each decision is a function of state, event and time.
"""

__version__ = "0.1.0"
