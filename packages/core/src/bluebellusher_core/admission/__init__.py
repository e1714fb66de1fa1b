"""Queue of admitted requests that wait for an endpoint."""

from bluebellusher_core.admission._fair_queue import FairQueue
from bluebellusher_core.admission._objective_queue import ObjectiveQueue
from bluebellusher_core.admission._priority_queue import PriorityQueue
from bluebellusher_core.admission._protocol import AdmissionQueue, FifoQueue

__all__ = [
    "AdmissionQueue",
    "FairQueue",
    "FifoQueue",
    "ObjectiveQueue",
    "PriorityQueue",
]
