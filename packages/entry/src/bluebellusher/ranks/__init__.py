"""Connections to the agents beside ranks, and the leader that changes expert maps."""

from bluebellusher.ranks._leader import MapLeader
from bluebellusher.ranks._lease import LeaseKeeper
from bluebellusher.ranks._links import RankLinks

__all__ = ["LeaseKeeper", "MapLeader", "RankLinks"]
