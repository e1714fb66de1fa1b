"""Start-time fair queueing by customer weight, bounded by deadline."""

import heapq
from collections.abc import Mapping
from math import inf

from bluebellusher_core.admission._flow import (
    AGEING_MS,
    Flow,
    WaitingRequest,
    compute_cost,
    predict_wait_with_overtaking,
)
from bluebellusher_core.admission._service_rate import ServiceRate
from bluebellusher_core.errors import Outcome, Reason, Rejection
from bluebellusher_core.events import Priority, RequestSpec

# Head start that one priority level gives between customers, in mean request costs
# of a customer with weight 1.
PRIORITY_HEAD_START = 2.0
# Weight of the latest dequeued request in the exponentially weighted mean cost.
COST_SMOOTHING = 0.05
# Bounds of the ``retry_after_ms`` of a rejection.
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 60_000
# A heap is rebuilt when its stale entries exceed the live ones by more than this.
MIN_STALE_ENTRIES = 64


class FairQueue:
    """Fair queue by customer weight with priority ageing and early rejection.

    Each customer has a start tag that grows with the cost of its requests divided
    by its weight; the customer with the lowest tag is served next (start-time fair
    queueing). The priority of a customer's first waiting request shifts the position
    of the customer by a bounded amount: a higher priority gives a head start but no
    larger share, and no request waits forever. Within a customer, requests are
    ordered by arrival time plus ``AGEING_MS`` for each priority level below the
    highest.

    Parameters
    ----------
    weight_by_customer : mapping of str to float, optional
        Relative shares; a customer that is not listed has weight 1.

    Notes
    -----
    ``offer``, ``dequeue``, ``requeue`` and ``remove`` take O(log n) amortised time.
    Memory is proportional to the waiting requests plus the customers whose tag is
    ahead of the virtual time.

    References
    ----------
    P. Goyal, H. M. Vin, H. Cheng, "Start-time fair queueing", SIGCOMM 1996.
    """

    def __init__(self, weight_by_customer: Mapping[str, float] | None = None) -> None:
        self._weight_by_customer: dict[str, float] = {}
        self._flow_by_customer: dict[str, Flow] = {}
        self._flow_heap: list[tuple[float, int, int, str]] = []
        self._waiting_by_id: dict[str, WaitingRequest] = {}
        self._deadline_heap: list[tuple[float, int, WaitingRequest]] = []
        self._virtual_time = 0.0
        self._n_offers = 0
        self._n_requeues = 0
        self._n_generations = 0
        self._total_cost = 0.0
        self._active_weight = 0.0
        self._mean_cost = 0.0
        self._rate = ServiceRate()
        self._n_slots = 0
        self._service_ms = 0.0
        self._prune_at_n_flows = MIN_STALE_ENTRIES
        self._last_dequeued: WaitingRequest | None = None
        self.set_weights(weight_by_customer or {})

    def set_weights(self, weight_by_customer: Mapping[str, float]) -> None:
        """Replace the customers' weights; customers keep their start tags.

        Raises
        ------
        ValueError
            When a weight is not above 0.
        """
        for customer_id, weight in weight_by_customer.items():
            if not weight > 0:
                raise ValueError(f"weight of {customer_id}={weight}: expected above 0")
        self._weight_by_customer = dict(weight_by_customer)
        self._active_weight = 0.0
        for customer_id, flow in self._flow_by_customer.items():
            flow.weight = self._weight_by_customer.get(customer_id, 1.0)
            if flow.n_waiting:
                self._active_weight += flow.weight

    def offer(self, request: RequestSpec, now_ms: int) -> Rejection | None:
        """Add the request, or reject it when its deadline cannot be met.

        Raises
        ------
        ValueError
            When a request with the same id is already waiting.
        """
        if request.request_id in self._waiting_by_id:
            raise ValueError(f"request_id={request.request_id}: already waiting")
        self._rate.advance(now_ms, has_backlog=bool(self._waiting_by_id))
        cost = compute_cost(request)
        self._mean_cost = self._mean_cost or cost
        wait_ms = self._predict_wait_ms(request)
        if request.deadline_ms <= now_ms:
            return _make_rejection(Reason.DEADLINE_EXCEEDED, wait_ms)
        latest_start_ms = self._latest_start_ms(request, cost)
        if self._waiting_by_id and now_ms + wait_ms >= latest_start_ms:
            return _make_rejection(Reason.DEADLINE_UNREACHABLE, wait_ms)
        self._n_offers += 1
        order = (now_ms + AGEING_MS * float(request.priority), self._n_offers)
        self._enqueue(WaitingRequest(request, cost, order, latest_start_ms, now_ms))
        self._get_flow(request.customer_id).record_accepted(
            request.priority, cost, now_ms
        )
        return None

    def dequeue(self, now_ms: int) -> RequestSpec | None:
        """Remove and return the next request, or ``None`` when none can be served.

        Requests that can no longer meet their deadline are skipped. They stay in the
        queue until ``expire`` returns them with their rejections.
        """
        self._rate.advance(now_ms, has_backlog=bool(self._waiting_by_id))
        while self._flow_heap:
            _, _, generation, customer_id = heapq.heappop(self._flow_heap)
            flow = self._flow_by_customer.get(customer_id)
            if flow is None or flow.generation != generation or flow.head is None:
                continue
            waiting = flow.head
            if waiting.latest_start_ms > now_ms:
                self._dequeue(waiting, flow, now_ms)
                return waiting.request
            self._remove_from_flow(waiting)
        return None

    def requeue(self, request: RequestSpec, now_ms: int) -> None:
        """Put a dequeued request that could not be dispatched back to the front.

        The start tag of the customer decreases by the cost of the request divided by
        the weight of the customer.
        """
        self._rate.advance(now_ms, has_backlog=bool(self._waiting_by_id))
        cost = compute_cost(request)
        flow = self._get_flow(request.customer_id)
        flow.start_tag -= cost / flow.weight
        last = self._last_dequeued
        if last and last.request is request and last.offered_at_ms < now_ms:
            self._rate.record(-cost)
            flow.rate.record(-cost)
        self._n_requeues += 1
        order = (float("-inf"), -self._n_requeues)
        latest_start_ms = self._latest_start_ms(request, cost)
        self._enqueue(WaitingRequest(request, cost, order, latest_start_ms, now_ms))

    def remove(self, request_id: str) -> bool:
        """Remove a request whose caller disconnected; return whether it waited."""
        waiting = self._waiting_by_id.get(request_id)
        if waiting is None:
            return False
        self._discard(waiting)
        return True

    def expire(self, now_ms: int) -> list[tuple[RequestSpec, Rejection]]:
        """Remove and reject requests that can no longer meet their deadline."""
        self._rate.advance(now_ms, has_backlog=bool(self._waiting_by_id))
        expired = []
        while self._deadline_heap and self._deadline_heap[0][0] <= now_ms:
            waiting = heapq.heappop(self._deadline_heap)[2]
            if self._is_current(waiting):
                self._discard(waiting)
                expired.append(waiting.request)
        return [
            (request, self._make_expiry_rejection(request, now_ms))
            for request in expired
        ]

    def observe_service(self, n_slots: int, service_ms: float) -> None:
        """Set the number of concurrent requests and their mean service time.

        Parameters
        ----------
        n_slots : int
            The entry's own share of the endpoints' slots, such as its mean number of
            attempts in flight.
        service_ms : float
            Mean time in which an endpoint serves a request, in ms.

        Raises
        ------
        ValueError
            When ``n_slots`` is below 1, or ``service_ms`` is not positive and finite.
        """
        if n_slots < 1:
            raise ValueError(f"n_slots={n_slots}: expected at least 1")
        if not 0 < service_ms < inf:
            raise ValueError(f"service_ms={service_ms}: expected above 0 and finite")
        self._n_slots = n_slots
        self._service_ms = service_ms

    def predict_wait_ms(self, request: RequestSpec) -> float:
        """Return the predicted wait, in ms, of a request that is offered now."""
        return self._predict_wait_ms(request)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting_by_id)

    def _get_flow(self, customer_id: str) -> Flow:
        flow = self._flow_by_customer.get(customer_id)
        if flow is None:
            weight = self._weight_by_customer.get(customer_id, 1.0)
            flow = Flow(weight, self._virtual_time)
            self._flow_by_customer[customer_id] = flow
        return flow

    def _enqueue(self, waiting: WaitingRequest) -> None:
        request = waiting.request
        flow = self._get_flow(request.customer_id)
        flow.rate.advance(waiting.offered_at_ms, has_backlog=flow.n_waiting > 0)
        if flow.n_waiting == 0:
            self._active_weight += flow.weight
            is_requeued = waiting.order[0] < 0
            if not is_requeued:
                flow.start_tag = max(flow.start_tag, self._virtual_time)
        flow.n_waiting += 1
        flow.cost_by_priority[request.priority] += waiting.cost
        self._total_cost += waiting.cost
        self._waiting_by_id[request.request_id] = waiting
        heapq.heappush(flow.heap, (waiting.order, waiting))
        deadline_entry = (waiting.latest_start_ms, waiting.order[1], waiting)
        heapq.heappush(self._deadline_heap, deadline_entry)
        self._update_head(request.customer_id, flow)
        self._compact(flow)

    def _update_head(self, customer_id: str, flow: Flow) -> None:
        """Update the customer's position when its first waiting request has changed."""
        while flow.heap and not flow.heap[0][1].is_in_flow:
            heapq.heappop(flow.heap)
        head = flow.heap[0][1] if flow.heap else None
        if head is flow.head:
            return
        flow.head = head
        self._n_generations += 1
        flow.generation = self._n_generations
        if head is None:
            return
        head_start = PRIORITY_HEAD_START * self._mean_cost
        position = flow.start_tag + head_start * float(head.request.priority)
        is_requeued = head.order[0] < 0
        position = float("-inf") if is_requeued else position
        entry = (position, head.order[1], flow.generation, customer_id)
        heapq.heappush(self._flow_heap, entry)

    def _dequeue(self, waiting: WaitingRequest, flow: Flow, now_ms: int) -> None:
        """Remove a request and advance the tags, mean cost and service rates."""
        self._virtual_time = max(self._virtual_time, flow.start_tag)
        flow.start_tag += waiting.cost / flow.weight
        self._mean_cost += COST_SMOOTHING * (waiting.cost - self._mean_cost)
        flow.rate.advance(now_ms, has_backlog=True)
        if waiting.offered_at_ms < now_ms:
            self._rate.record(waiting.cost)
            flow.rate.record(waiting.cost)
        self._last_dequeued = waiting
        self._discard(waiting)

    def _discard(self, waiting: WaitingRequest) -> None:
        """Remove a request from the queue, and from its flow unless it was skipped."""
        del self._waiting_by_id[waiting.request.request_id]
        if waiting.is_in_flow:
            self._remove_from_flow(waiting)

    def _remove_from_flow(self, waiting: WaitingRequest) -> None:
        request = waiting.request
        flow = self._flow_by_customer[request.customer_id]
        waiting.is_in_flow = False
        flow.n_waiting -= 1
        flow.cost_by_priority[request.priority] -= waiting.cost
        self._total_cost -= waiting.cost
        if flow.n_waiting == 0:
            self._active_weight -= flow.weight
            # Resets the rounding errors of repeated additions and subtractions.
            flow.cost_by_priority = [0.0] * len(Priority)
        self._update_head(request.customer_id, flow)

    def _is_current(self, waiting: WaitingRequest) -> bool:
        # A requeued request has a stale heap entry from its earlier offer.
        return self._waiting_by_id.get(waiting.request.request_id) is waiting

    def _compact(self, flow: Flow) -> None:
        """Remove stale heap entries once they outnumber live ones; O(1) amortised."""
        n_waiting = len(self._waiting_by_id)
        if len(self._deadline_heap) > 2 * n_waiting + MIN_STALE_ENTRIES:
            self._deadline_heap = [
                entry for entry in self._deadline_heap if self._is_current(entry[2])
            ]
            heapq.heapify(self._deadline_heap)
        if len(flow.heap) > 2 * flow.n_waiting + MIN_STALE_ENTRIES:
            flow.heap = [entry for entry in flow.heap if entry[1].is_in_flow]
            heapq.heapify(flow.heap)
        self._compact_flows()

    def _compact_flows(self) -> None:
        flows = self._flow_by_customer
        if len(self._flow_heap) > 2 * len(flows) + MIN_STALE_ENTRIES:
            self._flow_heap = [
                entry
                for entry in self._flow_heap
                if entry[3] in flows and flows[entry[3]].generation == entry[2]
            ]
            heapq.heapify(self._flow_heap)
        if len(flows) >= self._prune_at_n_flows:
            # A customer without waiting requests whose start tag is not ahead of the
            # virtual time would get the virtual time as its tag anyway.
            self._flow_by_customer = {
                customer_id: flow
                for customer_id, flow in flows.items()
                if flow.n_waiting or flow.start_tag > self._virtual_time
            }
            n_flows = len(self._flow_by_customer)
            self._prune_at_n_flows = 2 * n_flows + MIN_STALE_ENTRIES

    def _latest_start_ms(self, request: RequestSpec, cost: float) -> float:
        """Return the latest start, in monotonic ms, that meets the deadline."""
        # An empty queue means that capacity is sufficient. An estimate of the service
        # time that is too high must not reject every request forever.
        if not self._waiting_by_id or not self._mean_cost:
            return float(request.deadline_ms)
        service_ms = self._service_ms * cost / self._mean_cost
        return request.deadline_ms - service_ms

    def _predict_wait_ms(self, request: RequestSpec) -> float:
        """Predict the wait, in ms, from the customer's work ahead of the request.

        The service rate of the customer is measured while it has waiting requests.
        Before that, its share by weight among the waiting customers is expected. Later
        requests of the same customer with a higher priority can overtake the request;
        they are expected to arrive at their recent rate.
        """
        flow = self._flow_by_customer.get(request.customer_id)
        if flow is None or flow.n_waiting == 0:
            return self._predict_first_wait_ms(request, flow)
        rate = self._expected_rate()
        work_ahead = sum(flow.cost_by_priority[: request.priority + 1])
        if rate is not None:
            rate *= flow.weight / self._active_weight
        ms_per_unit = flow.rate.predict_wait_ms(1.0, rate, self._mean_cost)
        return predict_wait_with_overtaking(
            flow, request.priority, work_ahead, ms_per_unit
        )

    def _predict_first_wait_ms(self, request: RequestSpec, flow: Flow | None) -> float:
        """Predict the wait, in ms, of a customer's only request from its start tag.

        The work ahead is at most the cost of all waiting requests.
        """
        weight = self._weight_by_customer.get(request.customer_id, 1.0)
        head_start = request.priority * PRIORITY_HEAD_START * self._mean_cost
        tag_lead = flow.start_tag - self._virtual_time if flow else 0.0
        work_ahead = (head_start + max(0.0, tag_lead)) * (self._active_weight + weight)
        work_ahead = min(work_ahead, self._total_cost)
        rate = self._expected_rate()
        return self._rate.predict_wait_ms(work_ahead, rate, self._mean_cost)

    def _expected_rate(self) -> float | None:
        if not self._n_slots:
            return None
        return self._n_slots * self._mean_cost / self._service_ms

    def _make_expiry_rejection(self, request: RequestSpec, now_ms: int) -> Rejection:
        is_past = request.deadline_ms <= now_ms
        reason = Reason.DEADLINE_EXCEEDED if is_past else Reason.DEADLINE_UNREACHABLE
        return _make_rejection(reason, self._predict_wait_ms(request))


def _make_rejection(reason: Reason, wait_ms: float) -> Rejection:
    # The caller is asked to retry when the requests ahead of it have been served.
    retry_after_ms = int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms)))
    return Rejection(
        outcome=Outcome.NOT_RUN,
        reason=reason,
        step="admission",
        retry_after_ms=retry_after_ms,
    )
