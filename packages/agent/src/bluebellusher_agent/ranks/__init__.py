"""Agent beside one rank of a group, which reports its state and carries out orders.

Requests of callers do not pass through this agent. It reads the state and the counts of
the engine on its own instance, where reading costs no traffic between instances,
reports the state to all entries, and carries out the orders of the leader.
"""

from bluebellusher_agent._http import ExchangeError, HttpClient, NotSentError
from bluebellusher_agent.ranks._agent import RankAgent, run_rank_agent
from bluebellusher_agent.ranks._engine import (
    EngineControl,
    EngineState,
    OrderAnswer,
    RankCounts,
)
from bluebellusher_agent.ranks._settings import RankAgentSettings

__all__ = [
    "EngineControl",
    "EngineState",
    "ExchangeError",
    "HttpClient",
    "NotSentError",
    "OrderAnswer",
    "RankAgent",
    "RankAgentSettings",
    "RankCounts",
    "run_rank_agent",
]
