"""Start-time fair queueing by customer weight, bounded by deadline."""

import heapq
from collections.abc import Mapping
from math import inf

from bluebellusher_core.admission._flow import (
    AGEING_MS,
    Flow,
    Waiting,
    compute_cost,
    with_overtaking,
)
from bluebellusher_core.admission._service_rate import ServiceRate
from bluebellusher_core.errors import Outcome, Reason, Rejection
from bluebellusher_core.events import Priority, RequestSpec

# Between customers, each level of priority is a head start of this many mean
# requests of a customer with weight 1.
PRIORITY_HEAD_START = 2.0
COST_SMOOTHING = 0.05
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 60_000
# Dead heap entries are removed when they outnumber the live ones and this.
MIN_DEAD_ENTRIES = 64


class FairQueue:
    """Fair shares between customers, priorities with ageing, early refusal.

    Each customer has a start tag that grows with the cost of its requests divided
    by its weight; the customer with the lowest tag goes next (start-time fair
    queueing). The priority of a customer's first request shifts its place by a
    bounded amount, so that a customer gains a head start but no larger share, and
    no request waits forever. Within a customer, requests are ordered by arrival
    time plus ``AGEING_MS`` for each level of priority.

    Parameters
    ----------
    weight_by_customer : mapping of str to float, optional
        Relative shares; a customer that is not listed has weight 1.

    Notes
    -----
    ``offer``, ``take``, ``put_back`` and ``remove`` take O(log n) amortised time.
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
        self._waiting_by_id: dict[str, Waiting] = {}
        self._deadline_heap: list[tuple[float, int, Waiting]] = []
        self._virtual_time = 0.0
        self._n_offers = 0
        self._n_puts_back = 0
        self._n_places = 0
        self._total_cost = 0.0
        self._active_weight = 0.0
        self._mean_cost = 0.0
        self._rate = ServiceRate()
        self._n_slots = 0
        self._service_ms = 0.0
        self._prune_at = MIN_DEAD_ENTRIES
        self._last_taken: Waiting | None = None
        self.set_weights(weight_by_customer or {})

    def set_weights(self, weight_by_customer: Mapping[str, float]) -> None:
        """Replace the customers' weights; waiting requests keep their tags."""
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
        """Add the request, or refuse it when its deadline cannot be met."""
        if request.request_id in self._waiting_by_id:
            raise ValueError(f"request_id={request.request_id}: already waiting")
        self._rate.advance(now_ms, has_backlog=bool(self._waiting_by_id))
        cost = compute_cost(request)
        self._mean_cost = self._mean_cost or cost
        wait_ms = self._predicted_wait_ms(request)
        if request.deadline_ms <= now_ms:
            return _refusal(Reason.DEADLINE_EXCEEDED, wait_ms)
        latest_start_ms = self._latest_start_ms(request, cost)
        if self._waiting_by_id and now_ms + wait_ms >= latest_start_ms:
            return _refusal(Reason.DEADLINE_UNREACHABLE, wait_ms)
        self._n_offers += 1
        order = (now_ms + AGEING_MS * float(request.priority), self._n_offers)
        self._add(Waiting(request, cost, order, latest_start_ms, now_ms))
        self._flow(request.customer_id).note_accepted(request.priority, cost, now_ms)
        return None

    def take(self, now_ms: int) -> RequestSpec | None:
        """Remove and return the request that goes next.

        Requests that can no longer meet their deadline are passed over and stay
        until ``expire`` returns them with their refusal.
        """
        self._rate.advance(now_ms, has_backlog=bool(self._waiting_by_id))
        while self._flow_heap:
            _, _, generation, customer_id = heapq.heappop(self._flow_heap)
            flow = self._flow_by_customer.get(customer_id)
            if flow is None or flow.generation != generation or flow.head is None:
                continue
            waiting = flow.head
            if waiting.latest_start_ms > now_ms:
                self._take(waiting, flow, now_ms)
                return waiting.request
            self._leave_flow(waiting)
        return None

    def put_back(self, request: RequestSpec, now_ms: int) -> None:
        """Return a request that was taken and could not be placed, to go first.

        The customer's tag is moved back by the request's cost.
        """
        self._rate.advance(now_ms, has_backlog=bool(self._waiting_by_id))
        cost = compute_cost(request)
        flow = self._flow(request.customer_id)
        flow.start_tag -= cost / flow.weight
        last = self._last_taken
        if last and last.request is request and last.offered_at_ms < now_ms:
            self._rate.record(-cost)
            flow.rate.record(-cost)
        self._n_puts_back += 1
        order = (float("-inf"), -self._n_puts_back)
        latest_start_ms = self._latest_start_ms(request, cost)
        self._add(Waiting(request, cost, order, latest_start_ms, now_ms))

    def remove(self, request_id: str) -> bool:
        """Remove a request whose caller left; return whether it was waiting."""
        waiting = self._waiting_by_id.get(request_id)
        if waiting is None:
            return False
        self._discard(waiting)
        return True

    def expire(self, now_ms: int) -> list[tuple[RequestSpec, Rejection]]:
        """Remove and return requests whose deadline can no longer be met."""
        self._rate.advance(now_ms, has_backlog=bool(self._waiting_by_id))
        expired = []
        while self._deadline_heap and self._deadline_heap[0][0] <= now_ms:
            waiting = heapq.heappop(self._deadline_heap)[2]
            if self._is_current(waiting):
                self._discard(waiting)
                expired.append(waiting.request)
        return [(request, self._expiry(request, now_ms)) for request in expired]

    def observe_service(self, n_slots: int, service_ms: float) -> None:
        """Tell how many own requests run at once and how long one takes on average.

        ``n_slots`` is the entry's own share of the endpoints' slots, such as its
        mean number of attempts in flight.
        """
        if n_slots < 1:
            raise ValueError(f"n_slots={n_slots}: expected at least 1")
        if not 0 < service_ms < inf:
            raise ValueError(f"service_ms={service_ms}: expected above 0 and finite")
        self._n_slots = n_slots
        self._service_ms = service_ms

    def predict_wait_ms(self, request: RequestSpec) -> float:
        """Return how long the request would wait if it were offered now."""
        return self._predicted_wait_ms(request)

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting_by_id)

    def _flow(self, customer_id: str) -> Flow:
        flow = self._flow_by_customer.get(customer_id)
        if flow is None:
            weight = self._weight_by_customer.get(customer_id, 1.0)
            flow = Flow(weight, self._virtual_time)
            self._flow_by_customer[customer_id] = flow
        return flow

    def _add(self, waiting: Waiting) -> None:
        request = waiting.request
        flow = self._flow(request.customer_id)
        flow.rate.advance(waiting.offered_at_ms, has_backlog=flow.n_waiting > 0)
        if flow.n_waiting == 0:
            self._active_weight += flow.weight
            is_put_back = waiting.order[0] < 0
            if not is_put_back:
                flow.start_tag = max(flow.start_tag, self._virtual_time)
        flow.n_waiting += 1
        flow.cost_by_priority[request.priority] += waiting.cost
        self._total_cost += waiting.cost
        self._waiting_by_id[request.request_id] = waiting
        heapq.heappush(flow.heap, (waiting.order, waiting))
        deadline_entry = (waiting.latest_start_ms, waiting.order[1], waiting)
        heapq.heappush(self._deadline_heap, deadline_entry)
        self._place(request.customer_id, flow)
        self._compact(flow)

    def _place(self, customer_id: str, flow: Flow) -> None:
        """Order the customer by its first request, after that has changed."""
        while flow.heap and not flow.heap[0][1].is_in_flow:
            heapq.heappop(flow.heap)
        head = flow.heap[0][1] if flow.heap else None
        if head is flow.head:
            return
        flow.head = head
        self._n_places += 1
        flow.generation = self._n_places
        if head is None:
            return
        head_start = PRIORITY_HEAD_START * self._mean_cost
        place = flow.start_tag + head_start * float(head.request.priority)
        is_put_back = head.order[0] < 0
        place = float("-inf") if is_put_back else place
        entry = (place, head.order[1], flow.generation, customer_id)
        heapq.heappush(self._flow_heap, entry)

    def _take(self, waiting: Waiting, flow: Flow, now_ms: int) -> None:
        self._virtual_time = max(self._virtual_time, flow.start_tag)
        flow.start_tag += waiting.cost / flow.weight
        self._mean_cost += COST_SMOOTHING * (waiting.cost - self._mean_cost)
        flow.rate.advance(now_ms, has_backlog=True)
        if waiting.offered_at_ms < now_ms:
            self._rate.record(waiting.cost)
            flow.rate.record(waiting.cost)
        self._last_taken = waiting
        self._discard(waiting)

    def _discard(self, waiting: Waiting) -> None:
        del self._waiting_by_id[waiting.request.request_id]
        if waiting.is_in_flow:
            self._leave_flow(waiting)

    def _leave_flow(self, waiting: Waiting) -> None:
        request = waiting.request
        flow = self._flow_by_customer[request.customer_id]
        waiting.is_in_flow = False
        flow.n_waiting -= 1
        flow.cost_by_priority[request.priority] -= waiting.cost
        self._total_cost -= waiting.cost
        if flow.n_waiting == 0:
            self._active_weight -= flow.weight
            # Without this, rounding errors of many additions would stay.
            flow.cost_by_priority = [0.0] * len(Priority)
        self._place(request.customer_id, flow)

    def _is_current(self, waiting: Waiting) -> bool:
        # A request that was put back has an outdated entry from its first offer.
        return self._waiting_by_id.get(waiting.request.request_id) is waiting

    def _compact(self, flow: Flow) -> None:
        """Drop dead entries once they are the larger part; O(1) amortised."""
        n_waiting = len(self._waiting_by_id)
        if len(self._deadline_heap) > 2 * n_waiting + MIN_DEAD_ENTRIES:
            self._deadline_heap = [
                entry for entry in self._deadline_heap if self._is_current(entry[2])
            ]
            heapq.heapify(self._deadline_heap)
        if len(flow.heap) > 2 * flow.n_waiting + MIN_DEAD_ENTRIES:
            flow.heap = [entry for entry in flow.heap if entry[1].is_in_flow]
            heapq.heapify(flow.heap)
        self._compact_flows()

    def _compact_flows(self) -> None:
        flows = self._flow_by_customer
        if len(self._flow_heap) > 2 * len(flows) + MIN_DEAD_ENTRIES:
            self._flow_heap = [
                entry
                for entry in self._flow_heap
                if entry[3] in flows and flows[entry[3]].generation == entry[2]
            ]
            heapq.heapify(self._flow_heap)
        if len(flows) >= self._prune_at:
            # A customer without requests whose tag is not ahead starts anew.
            self._flow_by_customer = {
                customer_id: flow
                for customer_id, flow in flows.items()
                if flow.n_waiting or flow.start_tag > self._virtual_time
            }
            n_left = len(self._flow_by_customer)
            self._prune_at = 2 * n_left + MIN_DEAD_ENTRIES

    def _latest_start_ms(self, request: RequestSpec, cost: float) -> float:
        # With nothing waiting, capacity is not short, and a service estimate that
        # is too high must not refuse every request for ever.
        if not self._waiting_by_id or not self._mean_cost:
            return float(request.deadline_ms)
        service_ms = self._service_ms * cost / self._mean_cost
        return request.deadline_ms - service_ms

    def _predicted_wait_ms(self, request: RequestSpec) -> float:
        """Predict the wait from the customer's work that goes first.

        The customer's own rate of service is measured while it has requests waiting;
        until then its share by weight among the waiting customers is expected.
        Requests of the same customer with a higher priority overtake when they arrive
        in time, at the rate at which they arrived lately.
        """
        flow = self._flow_by_customer.get(request.customer_id)
        if flow is None or flow.n_waiting == 0:
            return self._first_wait_ms(request, flow)
        rate = self._expected_rate()
        work_ahead = sum(flow.cost_by_priority[: request.priority + 1])
        if rate is not None:
            rate *= flow.weight / self._active_weight
        unit_ms = flow.rate.predict_wait_ms(1.0, rate, self._mean_cost)
        return with_overtaking(flow, request.priority, work_ahead, unit_ms)

    def _first_wait_ms(self, request: RequestSpec, flow: Flow | None) -> float:
        """Predict the wait of a customer's only request, from its place in the round.

        It is never longer than all waiting work takes.
        """
        weight = self._weight_by_customer.get(request.customer_id, 1.0)
        head_start = request.priority * PRIORITY_HEAD_START * self._mean_cost
        lag = flow.start_tag - self._virtual_time if flow else 0.0
        work_ahead = (head_start + max(0.0, lag)) * (self._active_weight + weight)
        work_ahead = min(work_ahead, self._total_cost)
        rate = self._expected_rate()
        return self._rate.predict_wait_ms(work_ahead, rate, self._mean_cost)

    def _expected_rate(self) -> float | None:
        if not self._n_slots:
            return None
        return self._n_slots * self._mean_cost / self._service_ms

    def _expiry(self, request: RequestSpec, now_ms: int) -> Rejection:
        is_past = request.deadline_ms <= now_ms
        reason = Reason.DEADLINE_EXCEEDED if is_past else Reason.DEADLINE_UNREACHABLE
        return _refusal(reason, self._predicted_wait_ms(request))


def _refusal(reason: Reason, wait_ms: float) -> Rejection:
    # The caller is asked to return when what waits now has been served.
    retry_after_ms = int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms)))
    return Rejection(
        outcome=Outcome.NOT_RUN,
        reason=reason,
        step="admission",
        retry_after_ms=retry_after_ms,
    )
