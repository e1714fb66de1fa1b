"""Ranks of groups: links to their agents, and the entry that leads their maps."""

from bluebellusher.ranks._leader import MapLeader
from bluebellusher.ranks._lease import LeaseKeeper
from bluebellusher.ranks._links import RankLinks

__all__ = ["LeaseKeeper", "MapLeader", "RankLinks"]
