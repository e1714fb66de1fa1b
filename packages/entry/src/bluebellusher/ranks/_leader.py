"""Leader that balances the expert load of all groups by changing their maps."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from bluebellusher.ranks._lease import LeaseKeeper
from bluebellusher.ranks._links import RankLinks
from bluebellusher.shared import LogSink
from bluebellusher_core.balance import (
    ChangeCost,
    Conditions,
    GroupShape,
    Loads,
    Placement,
    PopularityTracker,
    RankBoundedPlanner,
    compute_pass_skew,
    count_max_new_experts,
    to_expert_map,
    to_placement,
)
from bluebellusher_core.clock import Clock
from bluebellusher_core.directory import GroupModel
from bluebellusher_core.ranks import (
    GroupView,
    MapChange,
    OrderAction,
    RankOrder,
    RankState,
    plan_first_fences,
    to_leader_token,
    unpack_counts,
)
from bluebellusher_core.wire import messages

# Maximum interval between two decisions about the orders to send. A report of a rank
# causes a decision at once.
DECIDE_INTERVAL_MS = 50
# Interval between two counts of expert choices. Popularity can change from one pass to
# the next and then stays the same for seconds. The group is slow until the counts show
# the change; at shorter intervals, the bytes of the counts cost more than the time that
# they save.
COUNT_INTERVAL_MS = 250
# Initial estimate of the duration of a map change without its weight loads.
INITIAL_FIXED_MS = 300.0
# Weight of the newest change in the moving average of this duration.
FIXED_MS_SMOOTHING = 0.3
# Maximum age of the reported state of a rank. The leader sends no orders to a group
# while the last state of any of its ranks is older.
MAX_STATE_AGE_MS = 1_500
# Time after which an accepted order is sent again if the reported states do not show
# its effect.
ORDER_REPEAT_MS = 400
# The same for orders to prepare a map, whose weight loads take seconds.
PREPARE_REPEAT_MS = 6_000
# Time after which an order that was refused or not answered is sent again.
ORDER_RETRY_MS = 50
# Time after which a change is aborted if not all ranks have prepared the target map.
PREPARE_TIMEOUT_MS = 15_000
# Relative increase of the duration of a pass while experts are loaded.
WEIGHT_LOAD_SLOWDOWN = 0.15
# Time for which a new map is expected to be useful; the popularity of experts stays the
# same for a few seconds.
POPULARITY_HORIZON_MS = 3_500.0
# A search that found no useful change is repeated after this interval, or as soon as
# the mean skew of the layers has increased by ``SEARCH_SKEW_INCREASE``.
SEARCH_INTERVAL_MS = 1_500
SEARCH_SKEW_INCREASE = 0.1
# Maximum age of the estimated popularity for a plan without new counts. Such a plan is
# made only when the ranks had to list their experts again, as after a group has been
# formed again. The popularity is mostly the same as before the interruption.
MAX_POPULARITY_AGE_MS = 15_000
# In groups with at least this number of ranks, only the ranks in the leader's failure
# domain are counted if there are at least ``MIN_SAMPLED_RANKS`` of them. They are a
# sufficient sample, and no counts are sent between failure domains.
MIN_RANKS_TO_SAMPLE = 32
MIN_SAMPLED_RANKS = 8
# Minimum mean number of choices of an expert of one layer in a count. With fewer
# choices, the shares of the experts are mostly random.
MIN_CHOICES_PER_EXPERT = 20
MS_PER_S = 1_000
_OrderKey = tuple[str, OrderAction, int, int, int]
BYTES_PER_GB = 1_000_000_000


@dataclass(slots=True)
class _GroupState:
    """State that the leader keeps of one group.

    All times are values of the monotonic clock, in ms.

    Parameters
    ----------
    change : MapChange
        State machine that decides the orders for the group.
    count_started_at_ms : int
        Time at which the last count was started.
    is_counting : bool
        Whether a count or the plan that follows it is in progress.
    searched_at_ms : int
        Time of the last search; 0 if it found a useful change.
    searched_skew : float
        Mean skew of the layers at the last search.
    target_set_at_ms : int
        Time at which the target map was set; 0 after the duration of its change has
        been recorded.
    epoch : int
        Epoch of the group in its last complete view.
    experts_by_rank : dict of int to sequence
        Experts of each rank, by layer, in the map ``placement_version``.
    placement_version : int
        Version of the map that ``experts_by_rank`` describes; -1 when the ranks must
        list their experts again.
    next_send_ms_by_order : dict of tuple to int
        Earliest time at which an order may be sent again, by rank id, action, map
        version, step and fencing token of the order.
    target_load_ms : float
        Expected duration of the weight loads of the target map.
    fixed_ms : float
        Average duration of a change without its weight loads.
    popularity : PopularityTracker
        Estimated popularity of the experts.
    popularity_updated_at_ms : int
        Time at which the popularity was last updated with counts.
    """

    change: MapChange
    count_started_at_ms: int = 0
    is_counting: bool = False
    searched_at_ms: int = 0
    searched_skew: float = 0.0
    target_set_at_ms: int = 0
    epoch: int = -1
    experts_by_rank: dict[int, Sequence[Sequence[int]]] = field(default_factory=dict)
    placement_version: int = -1
    next_send_ms_by_order: dict[_OrderKey, int] = field(default_factory=dict)
    target_load_ms: float = 0.0
    fixed_ms: float = INITIAL_FIXED_MS
    popularity: PopularityTracker = field(default_factory=PopularityTracker)
    popularity_updated_at_ms: int = 0


class MapLeader:
    """Planner of expert maps that sends the orders to switch every group to them.

    The leader counts how often the ranks choose each expert, plans a map with a lower
    skew and drives a ``MapChange`` of the group to this map.

    Parameters
    ----------
    lease : LeaseKeeper
        Lease that decides whether this entry is the leader. Other entries send no
        orders.
    links : RankLinks
        Connections to the agents of the ranks.
    find_group_model : callable
        Returns the sizes of the group that an endpoint belongs to, or None if the
        endpoint has no group.
    failure_domain : str
        Failure domain of this entry.
    rank_ms_per_gb : float
        Time in ms, summed over the ranks of a group, that a change must save for each
        GB of weights that it loads.
    clock : Clock
        Source of monotonic time.
    random_state : Random
        Source of random choices of the planner.
    log : LogSink
        Receives log events.

    Attributes
    ----------
    skew_by_group : dict of str to float
        Mean skew of the layers of each group when a change was last considered.
    """

    def __init__(
        self,
        lease: LeaseKeeper,
        links: RankLinks,
        find_group_model: Callable[[str], GroupModel | None],
        failure_domain: str,
        rank_ms_per_gb: float,
        clock: Clock,
        random_state: Random,
        log: LogSink,
    ) -> None:
        self.skew_by_group: dict[str, float] = {}
        self._lease = lease
        self._links = links
        self._find_group_model = find_group_model
        self._failure_domain = failure_domain
        self._rank_ms_per_gb = rank_ms_per_gb
        self._clock = clock
        self._random_state = random_state
        self._log = log
        self._token = 0
        self._group_by_id: dict[str, _GroupState] = {}
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_stopping = False

    async def finish_changes(self, timeout_ms: int) -> None:
        """Start no new change, and wait until the changes in progress are complete.

        Blocked groups still get a target map, because their held step cannot be
        released without one.

        Parameters
        ----------
        timeout_ms : int
            Maximum time to wait, after which changes may still be in progress.
        """
        self._is_stopping = True
        stop_at_ms = self._clock.now_ms() + timeout_ms
        while self._is_change_in_progress():
            remaining_ms = stop_at_ms - self._clock.now_ms()
            if remaining_ms <= 0:
                break
            await asyncio.sleep(min(remaining_ms, DECIDE_INTERVAL_MS) / MS_PER_S)

    def _is_change_in_progress(self) -> bool:
        """Return whether this entry leads and a change of any group is in progress."""
        if self._lease.leading_token is None:
            return False
        return any(not g.change.is_idle for g in self._group_by_id.values())

    async def run(self) -> None:
        """Plan and send orders whenever this entry is the leader, until cancelled."""
        self._links.on_state = self._receive_state
        while True:
            self._wake.clear()
            token = self._lease.leading_token
            if token is not None:
                self._lead_groups(token)
            try:
                async with asyncio.timeout(DECIDE_INTERVAL_MS / MS_PER_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _receive_state(self, state: RankState) -> None:
        """Record the token that a rank has accepted, and decide again.

        Entries that do not lead record it too. A store that was restored from a copy
        may no longer contain the token, and none may be used twice.
        """
        self._lease.record_seen_token(to_leader_token(state.fencing_token))
        self._wake.set()

    def _lead_groups(self, token: int) -> None:
        """Send the orders that are due to all groups with a complete view.

        Parameters
        ----------
        token : int
            Fencing token of the lease. With a new token, the leader starts again from
            the states that the ranks report.
        """
        if token != self._token:
            self._token = token
            self._group_by_id.clear()
        now_ms = self._clock.now_ms()
        states_by_group: dict[str, list[RankState]] = {}
        for state in self._links.get_states():
            states_by_group.setdefault(state.group_id, []).append(state)
        for group_id, states in states_by_group.items():
            view = GroupView.from_states(states, now_ms, MAX_STATE_AGE_MS)
            if view is not None:
                self._lead_group(group_id, view, now_ms)
            else:
                self._fence_group(group_id, states, now_ms)

    def _fence_group(
        self, group_id: str, states: Sequence[RankState], now_ms: int
    ) -> None:
        """Fence the agents of a group whose states are old or incomplete.

        Agents in other failure domains report to a leader at once, but to other entries
        seldom. A new leader would otherwise wait for their next reports.
        """
        group = self._get_group(group_id)
        for order in plan_first_fences(states, self._token):
            self._send_order_if_due(group, order, now_ms)

    def _get_group(self, group_id: str) -> _GroupState:
        """Return the state that this leader keeps of a group; create it if needed."""
        group = self._group_by_id.get(group_id)
        if group is None:
            group = self._group_by_id[group_id] = _GroupState(MapChange(self._token))
        return group

    def _lead_group(self, group_id: str, view: GroupView, now_ms: int) -> None:
        """Send the due orders of one group, and start a count when it is due.

        A change that is not prepared in time is aborted.
        """
        group = self._get_group(group_id)
        if view.epoch != group.epoch:
            group.epoch = view.epoch
            group.placement_version = -1
            group.next_send_ms_by_order.clear()
        was_idle = group.change.is_idle
        for order in group.change.decide(view, now_ms):
            self._send_order_if_due(group, order, now_ms)
        if group.change.is_idle and not was_idle:
            _update_fixed_ms(group, view, now_ms)
            group.count_started_at_ms = 0
        self._abort_late_change(group_id, group, view, now_ms)
        is_due = now_ms - group.count_started_at_ms >= COUNT_INTERVAL_MS
        may_plan = not self._is_stopping or group.change.is_blocked
        if is_due and not group.is_counting and may_plan:
            # Counting continues during a change, so that the plan after it uses the
            # latest popularity.
            group.count_started_at_ms = now_ms
            group.is_counting = True
            self._spawn(self._count_and_plan(group_id, group, view))

    def _abort_late_change(
        self, group_id: str, group: _GroupState, view: GroupView, now_ms: int
    ) -> None:
        """Abort a change when a rank has not prepared the target map in time.

        A change with a held step or an armed rank must be completed instead.
        """
        change = group.change
        is_late = now_ms - group.target_set_at_ms > PREPARE_TIMEOUT_MS
        if (
            change.target_version
            and is_late
            and not view.armed_states
            and not view.holding_states
        ):
            self._log.log("map-given-up", group=group_id, version=change.target_version)
            change.clear_target()

    def _send_order_if_due(
        self, group: _GroupState, order: RankOrder, now_ms: int
    ) -> None:
        """Start sending an order, unless it was sent before and is not due again."""
        key = (
            order.rank_id,
            order.action,
            order.map_version,
            order.step,
            order.fencing_token,
        )
        if now_ms < group.next_send_ms_by_order.get(key, now_ms):
            return
        repeat_ms = ORDER_REPEAT_MS
        if order.action is OrderAction.PREPARE:
            repeat_ms = PREPARE_REPEAT_MS
        group.next_send_ms_by_order[key] = now_ms + repeat_ms
        self._spawn(self._send_order(group, key, order))

    async def _send_order(
        self,
        group: _GroupState,
        key: _OrderKey,
        order: RankOrder,
    ) -> None:
        """Send an order and log the answer.

        Orders to prepare are logged only when they are refused or not answered.
        """
        if self._lease.leading_token != self._token:
            return
        answer = await self._links.send_order(order)
        if answer is None or not answer.is_accepted:
            group.next_send_ms_by_order[key] = self._clock.now_ms() + ORDER_RETRY_MS
        elif order.action is OrderAction.PREPARE:
            return
        self._log.log(
            "map-order",
            rank=order.rank_id,
            action=order.action.value,
            epoch=order.epoch,
            version=order.map_version,
            step=order.step,
            answer=answer.reason if answer else "none",
        )

    async def _count_and_plan(
        self, group_id: str, group: _GroupState, view: GroupView
    ) -> None:
        """Count the expert choices of a group, then set a target map if it needs one.

        An idle group gets a target if a change saves time, and a blocked group gets its
        current map.
        """
        try:
            loads = await self._update_popularity(group, view)
            if group.change.is_blocked:
                self._set_current_map_as_target(group_id, group, view)
            elif loads is not None and group.change.is_idle:
                await self._plan_change(group_id, group, view, loads)
        finally:
            group.is_counting = False

    async def _update_popularity(
        self, group: _GroupState, view: GroupView
    ) -> Loads | None:
        """Request counts from the ranks and return the estimated popularity.

        When the experts of the current map are not recorded yet, the ranks are
        requested to list them too.

        Returns
        -------
        Loads or None
            Share of the choices of a layer for each expert, by layer and expert. None
            when the counts are incomplete or too few. If the ranks were requested to
            list their experts, as after the group has been formed again, an earlier
            estimate up to ``MAX_POPULARITY_AGE_MS`` old is returned instead.
        """
        model = self._find_group_model(view.states[0].rank_id)
        if model is None:
            return None
        map_version = view.common_map_version
        may_set_target = group.change.is_idle or group.change.is_blocked
        with_map = may_set_target and group.placement_version != map_version
        if with_map:
            group.experts_by_rank.clear()
        states = view.states if with_map else self._choose_sampled_ranks(view)
        answers = await asyncio.gather(
            *(
                self._links.call(state.rank_id, messages.RankPull(with_map=with_map))
                for state in states
            )
        )
        counts = self._collect_counts(
            group, view.epoch, states, answers, with_map, model
        )
        now_ms = self._clock.now_ms()
        loads: Loads | None = None
        if counts is not None:
            group.popularity.observe(counts)
            group.popularity_updated_at_ms = now_ms
            loads = group.popularity.shares
        elif (
            with_map and now_ms - group.popularity_updated_at_ms < MAX_POPULARITY_AGE_MS
        ):
            # A group that has been formed again has map 0 and no counts yet.
            loads = group.popularity.shares
        is_usable = loads is not None or group.change.is_blocked
        if with_map and map_version is not None and is_usable:
            group.placement_version = map_version
        return loads

    def _set_current_map_as_target(
        self, group_id: str, group: _GroupState, view: GroupView
    ) -> None:
        """Set the current map, under a new version, as target of a blocked group.

        A group is blocked when a step is held and no map can be armed for it, such as
        after an engine has carried out an order to hold too late. The held step is used
        to switch to the current map, which needs no weight loads.
        """
        model = self._find_group_model(view.states[0].rank_id)
        placement = self._get_current_placement(group, view, model)
        if placement is None:
            # A rank has not answered; the next count requests the experts of all ranks.
            group.placement_version = -1
            return
        experts = to_expert_map(placement, len(view.states))
        version = group.change.set_target(experts, view.epoch)
        group.target_set_at_ms = self._clock.now_ms()
        group.placement_version = -1
        self._log.log("map-repeated", group=group_id, version=version, epoch=view.epoch)

    def _get_current_placement(
        self, group: _GroupState, view: GroupView, model: GroupModel | None
    ) -> Placement | None:
        """Return the placement in use, or None unless all experts are recorded."""
        is_current_map = group.placement_version == view.common_map_version
        is_complete = len(group.experts_by_rank) == len(view.states)
        if model is None or not is_current_map or not is_complete:
            return None
        return to_placement(group.experts_by_rank, model.n_layers, model.n_experts)

    def _choose_sampled_ranks(self, view: GroupView) -> list[RankState]:
        """Return the states of the ranks from which counts are requested.

        Load pattern: groups of tens of ranks in several failure domains. Every rank
        serves callers of all kinds, so that some ranks are a representative sample.
        The counts of all ranks would need more bytes between the failure domains than
        the requests of callers.
        """
        near_states = [
            state
            for state in view.states
            if self._links.find_domain(state.rank_id) == self._failure_domain
        ]
        is_large = len(view.states) >= MIN_RANKS_TO_SAMPLE
        return (
            near_states
            if is_large and len(near_states) >= MIN_SAMPLED_RANKS
            else view.states
        )

    def _collect_counts(
        self,
        group: _GroupState,
        epoch: int,
        states: Sequence[RankState],
        answers: Sequence[Any],
        with_map: bool,
        model: GroupModel,
    ) -> list[list[float]] | None:
        """Record the listed experts, and return the choices since the last count.

        Parameters
        ----------
        group : _GroupState
            Group in which the experts of each rank are recorded.
        epoch : int
            Epoch of the group when the counts were requested.
        states : sequence of RankState
            States of the ranks that were requested to send counts.
        answers : sequence of RankCounts or None
            Answer of each of these ranks; None for a rank that has not answered.
        with_map : bool
            Whether the ranks were requested to list their experts.
        model : GroupModel
            Sizes of the group.

        Returns
        -------
        list of list of float or None
            Number of choices by layer and expert. None when an answer is missing, is
            from another epoch or has no usable counts, or when there are too few
            choices.
        """
        n_total = model.n_layers * model.n_experts
        totals = [0] * n_total
        is_complete = True
        for state, answer in zip(states, answers, strict=True):
            if answer is None or answer.epoch != epoch:
                is_complete = False
                continue
            if with_map:
                group.experts_by_rank[state.rank] = answer.experts
            counts = self._decode_counts(state.rank_id, answer, n_total)
            is_complete = is_complete and counts is not None
            if counts:
                totals = [a + b for a, b in zip(totals, counts, strict=True)]
        if not is_complete or sum(totals) < MIN_CHOICES_PER_EXPERT * n_total:
            return None
        return [
            [float(n) for n in totals[start : start + model.n_experts]]
            for start in range(0, n_total, model.n_experts)
        ]

    def _decode_counts(
        self, rank_id: str, answer: Any, n_total: int
    ) -> list[int] | None:
        """Return the number of choices of each expert in the answer of one rank.

        The list is empty when the rank has made no choices. The result is None when the
        agent had no earlier counts of this epoch to subtract, or when the counts cannot
        be decoded; no plan is made then until the next count.
        """
        if answer.packed_counts is None:
            return None
        try:
            counts = unpack_counts(answer.packed_counts)
            if len(counts) not in (0, n_total):
                raise ValueError(f"{len(counts)} counts: expected {n_total}")
        except ValueError as error:
            self._log.log("counts-unreadable", rank=rank_id, reason=str(error))
            return None
        return counts

    async def _plan_change(
        self,
        group_id: str,
        group: _GroupState,
        view: GroupView,
        loads: Loads,
    ) -> None:
        """Search for a map that saves time, and set it as the target of the group."""
        model = self._find_group_model(view.states[0].rank_id)
        if model is None or group.placement_version != view.common_map_version:
            return
        n_ranks = len(view.states)
        placement = self._get_current_placement(group, view, model)
        if placement is None:
            group.placement_version = -1
            return
        shape = GroupShape(
            n_ranks,
            model.n_layers,
            model.n_experts,
            model.n_slots,
            max(1, model.n_expert_bytes),
        )
        cost = ChangeCost(
            load_ms=model.load_ms,
            fixed_ms=group.fixed_ms,
            slowdown=WEIGHT_LOAD_SLOWDOWN,
            expert_share=model.expert_share,
            horizon_ms=POPULARITY_HORIZON_MS,
            price_ms_per_load=self._rank_ms_per_gb
            * model.n_expert_bytes
            / BYTES_PER_GB
            / n_ranks,
        )
        pace_by_rank = [state.pace for state in view.states]
        current_skew = _compute_mean_skew(placement, loads, pace_by_rank)
        self.skew_by_group[group_id] = current_skew
        now_ms = self._clock.now_ms()
        was_searched_recently = now_ms - group.searched_at_ms < SEARCH_INTERVAL_MS
        if (
            was_searched_recently
            and current_skew < group.searched_skew + SEARCH_SKEW_INCREASE
        ):
            return
        group.searched_at_ms, group.searched_skew = now_ms, current_skew
        planner = RankBoundedPlanner(shape, cost, model.n_max_new, pace_by_rank)
        planner.observe(loads)
        conditions = Conditions(self._clock.now_ms())
        # In the event loop, the search would interrupt streamed responses for too long.
        plan = await asyncio.to_thread(
            planner.plan, placement, conditions, self._random_state
        )
        if not group.change.is_idle or group.epoch != view.epoch or not plan.moves:
            return
        group.searched_at_ms = 0
        max_loads_per_rank = count_max_new_experts(n_ranks, placement, plan.placement)
        group.target_load_ms = max_loads_per_rank * model.load_ms
        self._set_target(group, view.epoch, n_ranks, plan.placement)
        self._log.log(
            "map-wanted",
            group=group_id,
            version=group.placement_version,
            epoch=view.epoch,
            skew=current_skew,
            planned_skew=_compute_mean_skew(plan.placement, loads, pace_by_rank),
            n_loads=plan.n_loads,
            slowest_pace=max(pace_by_rank),
        )

    def _set_target(
        self, group: _GroupState, epoch: int, n_ranks: int, placement: Placement
    ) -> None:
        """Set a placement as the target map of a group, under a new version."""
        experts = to_expert_map(placement, n_ranks)
        group.placement_version = group.change.set_target(experts, epoch)
        group.target_set_at_ms = self._clock.now_ms()
        group.experts_by_rank = {
            rank: [layer[rank] for layer in experts] for rank in range(n_ranks)
        }

    def _spawn(self, coroutine: Any) -> None:
        """Run a coroutine as a task, with a reference that keeps the task alive."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _update_fixed_ms(group: _GroupState, view: GroupView, now_ms: int) -> None:
    """Update the average duration of changes of a group without their weight loads.

    When orders are lost, changes take longer and make the group wait at the held step.
    With the longer duration, the planner makes only changes with a large gain.
    """
    if view.common_map_version != group.placement_version or not group.target_set_at_ms:
        return
    fixed_ms = now_ms - group.target_set_at_ms - group.target_load_ms
    group.fixed_ms += FIXED_MS_SMOOTHING * (max(0.0, fixed_ms) - group.fixed_ms)
    group.target_set_at_ms = 0


def _compute_mean_skew(
    placement: Placement, loads: Loads, pace_by_rank: Sequence[float]
) -> float:
    """Return the mean skew of the layers, with the pace of the ranks."""
    skews = [
        compute_pass_skew(ranks, layer_loads, pace_by_rank)
        for ranks, layer_loads in zip(placement, loads, strict=True)
    ]
    return sum(skews) / len(skews)
