"""Endpoint agent of the bluebellusher load balancer."""

from bluebellusher_agent._agent import Agent
from bluebellusher_agent._settings import Address, AgentSettings

__all__ = ["Address", "Agent", "AgentSettings"]
