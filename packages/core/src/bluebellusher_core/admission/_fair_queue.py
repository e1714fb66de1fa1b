"""Start-time fair queueing by customer weight, bounded by deadline."""

import heapq
from collections.abc import Mapping
from dataclasses import dataclass, field

from bluebellusher_core.admission._service_rate import ServiceRate
from bluebellusher_core.errors import Outcome, Reason, Refusal
from bluebellusher_core.events import Priority, RequestSpec

# A prompt token takes about a sixteenth of the engine time of an output token,
# because prefill runs over many tokens at once.
INPUT_TOKENS_PER_OUTPUT_TOKEN = 16
# A waiting request overtakes a later one of the same customer and of the next
# higher priority when it is this much older.
AGEING_MS = 5_000
# Between customers, each level of priority is a head start of this many mean
# requests of a customer with weight 1.
PRIORITY_HEAD_START = 2.0
COST_SMOOTHING = 0.05
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 60_000
# Dead heap entries are removed when they outnumber the live ones and this.
MIN_DEAD_ENTRIES = 64


@dataclass(slots=True, eq=False)
class _Waiting:
    request: RequestSpec
    cost: float
    order: tuple[float, int]
    # The time after which the answer would come too late.
    latest_start_ms: float
    offered_at_ms: int
    is_in_flow: bool = True


@dataclass(slots=True)
class _Flow:
    """The waiting requests and the position of one customer."""

    weight: float
    start_tag: float
    heap: list[tuple[tuple[float, int], _Waiting]] = field(default_factory=list)
    cost_by_priority: list[float] = field(default_factory=lambda: [0.0] * len(Priority))
    n_waiting: int = 0
    head: _Waiting | None = None
    # Entries of the heap of flows with another generation are outdated.
    generation: int = 0


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
        self._flow_by_customer: dict[str, _Flow] = {}
        self._flow_heap: list[tuple[float, int, int, str]] = []
        self._waiting_by_id: dict[str, _Waiting] = {}
        self._deadline_heap: list[tuple[float, int, _Waiting]] = []
        self._virtual_time = 0.0
        self._n_offers = 0
        self._n_puts_back = 0
        self._n_places = 0
        self._total_cost = 0.0
        self._active_weight = 0.0
        self._mean_cost = 0.0
        self._rate = ServiceRate()
        self._prune_at = MIN_DEAD_ENTRIES
        self._last_taken: _Waiting | None = None
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

    def offer(self, request: RequestSpec, now_ms: int) -> Refusal | None:
        """Add the request, or refuse it when its deadline cannot be met."""
        if request.request_id in self._waiting_by_id:
            raise ValueError(f"request_id={request.request_id}: already waiting")
        self._rate.advance(now_ms, has_backlog=bool(self._waiting_by_id))
        cost = _cost(request)
        self._mean_cost = self._mean_cost or cost
        wait_ms = self._predicted_wait_ms(request)
        if request.deadline_ms <= now_ms:
            return _refusal(Reason.DEADLINE_EXCEEDED, wait_ms)
        latest_start_ms = self._latest_start_ms(request, cost)
        if self._waiting_by_id and now_ms + wait_ms >= latest_start_ms:
            return _refusal(Reason.DEADLINE_UNREACHABLE, wait_ms)
        self._n_offers += 1
        order = (now_ms + AGEING_MS * float(request.priority), self._n_offers)
        self._add(_Waiting(request, cost, order, latest_start_ms, now_ms))
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
        cost = _cost(request)
        flow = self._flow(request.customer_id)
        flow.start_tag -= cost / flow.weight
        last = self._last_taken
        if last and last.request is request and last.offered_at_ms < now_ms:
            self._rate.record(-cost)
        self._n_puts_back += 1
        order = (float("-inf"), -self._n_puts_back)
        latest_start_ms = self._latest_start_ms(request, cost)
        self._add(_Waiting(request, cost, order, latest_start_ms, now_ms))

    def remove(self, request_id: str) -> bool:
        """Remove a request whose caller left; return whether it was waiting."""
        waiting = self._waiting_by_id.get(request_id)
        if waiting is None:
            return False
        self._discard(waiting)
        return True

    def expire(self, now_ms: int) -> list[tuple[RequestSpec, Refusal]]:
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
        self._rate.observe_service(n_slots, service_ms, self._mean_cost)

    def predict_wait_ms(self, request: RequestSpec) -> float:
        """Return how long the request would wait if it were offered now."""
        return self._predicted_wait_ms(request)

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting_by_id)

    def _flow(self, customer_id: str) -> _Flow:
        flow = self._flow_by_customer.get(customer_id)
        if flow is None:
            weight = self._weight_by_customer.get(customer_id, 1.0)
            flow = _Flow(weight, self._virtual_time)
            self._flow_by_customer[customer_id] = flow
        return flow

    def _add(self, waiting: _Waiting) -> None:
        request = waiting.request
        flow = self._flow(request.customer_id)
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

    def _place(self, customer_id: str, flow: _Flow) -> None:
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

    def _take(self, waiting: _Waiting, flow: _Flow, now_ms: int) -> None:
        self._virtual_time = max(self._virtual_time, flow.start_tag)
        flow.start_tag += waiting.cost / flow.weight
        self._mean_cost += COST_SMOOTHING * (waiting.cost - self._mean_cost)
        if waiting.offered_at_ms < now_ms:
            self._rate.record(waiting.cost)
        self._last_taken = waiting
        self._discard(waiting)

    def _discard(self, waiting: _Waiting) -> None:
        del self._waiting_by_id[waiting.request.request_id]
        if waiting.is_in_flow:
            self._leave_flow(waiting)

    def _leave_flow(self, waiting: _Waiting) -> None:
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

    def _is_current(self, waiting: _Waiting) -> bool:
        # A request that was put back has an outdated entry from its first offer.
        return self._waiting_by_id.get(waiting.request.request_id) is waiting

    def _compact(self, flow: _Flow) -> None:
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
        service_ms = self._rate.service_ms * cost / self._mean_cost
        return request.deadline_ms - service_ms

    def _predicted_wait_ms(self, request: RequestSpec) -> float:
        """Predict the wait from the work that goes first.

        Other customers with waiting requests receive work in proportion to their
        weights while this customer's requests ahead are served, but never more than
        all waiting work.
        """
        flow = self._flow_by_customer.get(request.customer_id)
        weight = self._weight_by_customer.get(request.customer_id, 1.0)
        tag = request.priority * PRIORITY_HEAD_START * self._mean_cost
        active_weight = self._active_weight
        if flow is not None:
            own_work = sum(flow.cost_by_priority[: request.priority + 1])
            tag += own_work / weight + max(0.0, flow.start_tag - self._virtual_time)
        if flow is None or flow.n_waiting == 0:
            active_weight += weight
        work_ahead = min(self._total_cost, tag * active_weight)
        return self._rate.predict_wait_ms(work_ahead, self._mean_cost)

    def _expiry(self, request: RequestSpec, now_ms: int) -> Refusal:
        is_past = request.deadline_ms <= now_ms
        reason = Reason.DEADLINE_EXCEEDED if is_past else Reason.DEADLINE_UNREACHABLE
        return _refusal(reason, self._predicted_wait_ms(request))


def _cost(request: RequestSpec) -> float:
    n_input = request.n_input_tokens / INPUT_TOKENS_PER_OUTPUT_TOKEN
    return 1.0 + n_input + request.n_max_output_tokens


def _refusal(reason: Reason, wait_ms: float) -> Refusal:
    # The caller is asked to return when what waits now has been served.
    retry_after_ms = int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms)))
    return Refusal(
        outcome=Outcome.NOT_RUN,
        reason=reason,
        step="admission",
        retry_after_ms=retry_after_ms,
    )
