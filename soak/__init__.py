"""Fault soak: real processes on loopback, with faults from outside them."""
