"""Fault runs of real entry and endpoint processes on the loopback interface."""
