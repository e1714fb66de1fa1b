"""Agent beside one rank of a group: its state, counts and orders.

Requests do not pass through this agent. It reads what is free to read on the rank's own
instance, tells it to every entry, and carries out the orders of the leading entry.
"""

from bluebellusher_agent._http import ExchangeError, HttpClient, NotSentError
from bluebellusher_agent.ranks._agent import RankAgent, run_rank_agent
from bluebellusher_agent.ranks._engine import (
    EngineControl,
    OrderAnswer,
    RankCounts,
    RankReading,
)
from bluebellusher_agent.ranks._settings import RankAgentSettings

__all__ = [
    "EngineControl",
    "ExchangeError",
    "HttpClient",
    "NotSentError",
    "OrderAnswer",
    "RankAgent",
    "RankAgentSettings",
    "RankCounts",
    "RankReading",
    "run_rank_agent",
]
