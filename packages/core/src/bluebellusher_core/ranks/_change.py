"""Leader's part of a change of the expert map.

The leader derives its orders from the reported states of the ranks, so that a new
leader can continue a change that its predecessor started. A change has five phases:

1. Fence every agent with the leader's fencing token. An agent that has accepted the
   token refuses orders of earlier leaders, and the leader only uses states that carry
   its token. The leader fences twice, with two tokens: a state with the second token
   was read after the last agent had accepted the first one, so it shows everything
   that earlier leaders based their orders on.
2. Prepare one version of the map on every rank. Versions contain the leader's token,
   so that two leaders never assign the same version to different maps.
3. Hold a step at one rank, and wait until the rank reports the hold. A hold lasts
   until it is released, so the group cannot start the pass of that step.
4. Arm every rank for that step. The leader sends no order to arm before the hold is
   reported.
5. Release the step after every rank has reported that it is armed, and never before.

An engine may carry out an unanswered order seconds after it was sent. A delayed order
to prepare has an old version and is refused. A delayed order to hold or arm is refused
when its step has started, and a held step starts only when all ranks are armed for it.
From phase 4 on the leader always completes the change and never aborts it, because
orders to arm may still be in transit. A group that is formed again starts with empty
state, and its ranks refuse orders of the previous epoch.

An engine may also carry out a delayed hold while the ranks have prepared different
versions. The leader does not simply release that hold, because the release could be
delayed as well and take effect while ranks are being armed for the same step. It
prepares a map on all ranks and uses the held step to switch to that map.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from bluebellusher_core.ranks._state import (
    ExpertMap,
    GroupView,
    OrderAction,
    RankOrder,
    RankState,
)

# Number of passes from the latest reported step to the step to hold. With 2, the ranks
# are armed while the pass before the held one runs, so that the group does not wait
# unless an order is lost. Each additional pass delays every change by one pass.
HOLD_LEAD_STEPS = 2
# A map version is the leader's token times this factor, plus a counter, so that two
# leaders never use the same version.
VERSIONS_PER_TOKEN = 2**20
# Number of fencing tokens that each leader uses; it fences every agent twice.
FENCES_PER_TOKEN = 2
# Time after which an unanswered order can no longer take effect. Engines carry out
# such orders within 12 s.
MAX_ORDER_DELAY_MS = 13_000


class ChangePhase(StrEnum):
    """Phase of a map change of one group.

    In ``BLOCKED`` a step is held, but no map can be armed for it until a new target
    map is set.
    """

    IDLE = "idle"
    FENCING = "fencing"
    PREPARING = "preparing"
    HOLDING = "holding"
    BLOCKED = "blocked"
    ARMING = "arming"
    RELEASING = "releasing"


def to_leader_token(fencing_token: int) -> int:
    """Return the lease token of the leader that uses ``fencing_token``."""
    return fencing_token // FENCES_PER_TOKEN


def plan_first_fences(
    states: Iterable[RankState], leader_token: int
) -> list[RankOrder]:
    """Return the orders that fence agents with the first token of a leader.

    The states may be old, and some ranks of the group may be missing. The second token
    needs the states of all ranks, which ``MapChange`` waits for.
    """
    return _plan_fences(states, leader_token * FENCES_PER_TOKEN)


def _plan_fences(states: Iterable[RankState], token: int) -> list[RankOrder]:
    """Return the orders that fence the agents that have accepted a lower token."""
    return [
        RankOrder(s.rank_id, OrderAction.FENCE, s.epoch, 0, 0, (), token)
        for s in states
        if s.fencing_token < token
    ]


@dataclass(slots=True)
class MapChange:
    """State machine that decides which orders bring one group to the target map.

    Parameters
    ----------
    leader_token : int
        Fencing token of the leader's lease.
    phase : ChangePhase
        Phase at the last call of ``decide``. In ``BLOCKED`` a step is held, and the
        group waits for a new target map. The current map under a new version serves,
        because its weights are already loaded.
    target_version : int
        Version of the target map; 0 for none.
    """

    leader_token: int
    phase: ChangePhase = ChangePhase.IDLE
    target_version: int = 0
    _target_map: ExpertMap = field(default=(), repr=False)
    _target_epoch: int = -1
    _epoch: int = -1
    _n_versions: int = 0
    _hold_step: int = 0
    # Whether this leader has sent an order to prepare in the current epoch, which may
    # still be in transit.
    _has_sent_prepare: bool = False
    # The held step, and the monotonic time in ms at which a rank first reported it.
    _first_observed_hold: tuple[int, int] = (0, 0)

    @property
    def is_idle(self) -> bool:
        """Whether no change is in progress, so that a target map may be set."""
        return self.phase is ChangePhase.IDLE

    @property
    def is_blocked(self) -> bool:
        """Whether a held step cannot be released until a target map is set."""
        return self.phase is ChangePhase.BLOCKED

    def set_target(self, expert_map: ExpertMap, epoch: int) -> int:
        """Start the change to a new target map and return its version.

        Parameters
        ----------
        expert_map : ExpertMap
            The target map.
        epoch : int
            Epoch of the group that the map was planned for. The change is aborted
            when the group reports another epoch.
        """
        self._n_versions += 1
        self.target_version = self.leader_token * VERSIONS_PER_TOKEN + self._n_versions
        self._target_map = expert_map
        self._target_epoch = epoch
        self._hold_step = 0
        self.phase = ChangePhase.PREPARING
        return self.target_version

    def clear_target(self) -> None:
        """Discard the target map, after its change has completed or to abort it.

        A change may be aborted only while the map is not prepared on all ranks, so that
        no rank has been armed for it.
        """
        self.target_version = 0
        self._target_map = ()
        self._hold_step = 0
        self.phase = ChangePhase.IDLE

    def decide(self, view: GroupView, now_ms: int) -> list[RankOrder]:
        """Return the orders to send to the ranks now.

        Parameters
        ----------
        view : GroupView
            Reported states of all ranks.
        now_ms : int
            Monotonic time.
        """
        first_token = self.leader_token * FENCES_PER_TOKEN
        for token in range(first_token, first_token + FENCES_PER_TOKEN):
            fences = _plan_fences(view.states, token)
            if fences:
                self.phase = ChangePhase.FENCING
                return fences
        if view.epoch != self._epoch:
            self._epoch = view.epoch
            self._has_sent_prepare = False
            self._first_observed_hold = (0, 0)
        if self.target_version and view.epoch != self._target_epoch:
            self.clear_target()
        if view.armed_states:
            return self._complete_armed_change(view)
        if view.holding_states:
            return self._decide_with_held_step(view, now_ms)
        return self._decide_without_held_step(view)

    def _complete_armed_change(self, view: GroupView) -> list[RankOrder]:
        """Arm the remaining ranks, or release the held step when all are armed."""
        version, step = (
            view.armed_states[0].armed_version,
            view.armed_states[0].armed_step,
        )
        unarmed = [s for s in view.states if s.armed_version != version]
        if unarmed:
            if view.holding_states:
                step = max(state.held_step or 0 for state in view.holding_states)
            return self._make_arm_orders(unarmed, version, step)
        self.phase = ChangePhase.RELEASING
        return [
            self._make_order(s, OrderAction.RELEASE, step=s.held_step or 0)
            for s in view.holding_states
        ]

    def _decide_with_held_step(self, view: GroupView, now_ms: int) -> list[RankOrder]:
        """Arm the ranks for a held step, or first prepare the target map on them."""
        step = view.holding_states[0].held_step or 0
        if self._first_observed_hold[0] != step:
            self._first_observed_hold = (step, now_ms)
        version = view.common_prepared_version
        if version and version != view.common_map_version:
            if self._is_safe_to_arm(version, now_ms - self._first_observed_hold[1]):
                return self._make_arm_orders(view.states, version, step)
            if not self._has_sent_prepare:
                # An order to arm for this version may still be in transit.
                self.phase = ChangePhase.ARMING
                return []
        if not self.target_version:
            self.phase = ChangePhase.BLOCKED
            return []
        self.phase = ChangePhase.PREPARING
        return self._make_prepare_orders(view)

    def _is_safe_to_arm(self, version: int, held_ms: int) -> bool:
        """Return whether no order to prepare another version can be in transit.

        If a rank carried out such an order before its order to arm, it could not be
        armed, and the ranks would end up with different maps. Earlier leaders send no
        order to prepare while they observe a held step, but the hold may have been
        carried out late, after such an order was sent.

        Parameters
        ----------
        version : int
            Version that all ranks have prepared.
        held_ms : int
            Time since the held step was first reported.
        """
        if version == self.target_version:
            return True
        if self._has_sent_prepare:
            return False
        is_from_previous_leader = version // VERSIONS_PER_TOKEN == self.leader_token - 1
        return is_from_previous_leader or held_ms >= MAX_ORDER_DELAY_MS

    def _decide_without_held_step(self, view: GroupView) -> list[RankOrder]:
        """Prepare the target map on all ranks, then hold a step at one of them."""
        if not self.target_version:
            self.phase = ChangePhase.IDLE
            return []
        if view.common_map_version == self.target_version:
            self.clear_target()
            return []
        orders = self._make_prepare_orders(view)
        if orders:
            self.phase = ChangePhase.PREPARING
            return orders
        self.phase = ChangePhase.HOLDING
        if self._hold_step <= view.step:
            self._hold_step = view.step + HOLD_LEAD_STEPS
        return [
            self._make_order(view.states[0], OrderAction.HOLD, step=self._hold_step)
        ]

    def _make_prepare_orders(self, view: GroupView) -> list[RankOrder]:
        """Return an order for each rank that has not prepared the target map."""
        unprepared = [
            s for s in view.states if s.prepared_version != self.target_version
        ]
        self._has_sent_prepare = self._has_sent_prepare or bool(unprepared)
        return [
            self._make_order(
                state,
                OrderAction.PREPARE,
                self.target_version,
                expert_map=self._target_map,
            )
            for state in unprepared
        ]

    def _make_arm_orders(
        self, states: list[RankState], version: int, step: int
    ) -> list[RankOrder]:
        """Return an order to arm for each rank that does not use ``version`` yet."""
        self.phase = ChangePhase.ARMING
        return [
            self._make_order(state, OrderAction.ARM, version, step)
            for state in states
            if state.map_version != version
        ]

    def _make_order(
        self,
        state: RankState,
        action: OrderAction,
        version: int = 0,
        step: int = 0,
        expert_map: ExpertMap = (),
    ) -> RankOrder:
        """Return an order with the second fencing token of this leader."""
        token = (self.leader_token + 1) * FENCES_PER_TOKEN - 1
        return RankOrder(
            state.rank_id, action, state.epoch, version, step, expert_map, token
        )
