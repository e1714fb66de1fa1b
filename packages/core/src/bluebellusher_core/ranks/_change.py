"""Leader's side of a change of expert maps.

The orders follow from the observed states alone, so that a new leader goes on where
the last one stopped:

1. Fence: every agent knows the leader's token before its state counts. An agent
   refuses orders of earlier leaders from then on.
2. Prepare one version everywhere. Versions contain the token, so that two leaders
   never give one version to two maps.
3. Hold a step at one rank, and wait until it is seen held there. A hold lasts until
   it is released, hence the group does not begin that step.
4. Arm every rank for that step. No order to arm is sent before the hold was seen.
5. Release the step once every rank was seen armed.

An order without an answer may still be carried out seconds later. A late prepare has
an old version and is refused; a late hold or arm is refused once its step has begun,
and a step only begins when all ranks are armed for it. From step 4 on the change is
completed and never taken back, because an order to arm may be on its way. A group
that is formed anew forgets everything, and refuses orders of its earlier epoch.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from bluebellusher_core.ranks._state import (
    ExpertMap,
    GroupView,
    OrderAction,
    RankOrder,
    RankState,
)

# Passes between the latest known one and the one to hold. A hold that comes too late
# is refused and tried again; a longer lead delays every change by a pass.
HOLD_LEAD_STEPS = 1


class ChangePhase(StrEnum):
    """Where a group stands."""

    IDLE = "idle"
    FENCING = "fencing"
    PREPARING = "preparing"
    HOLDING = "holding"
    ARMING = "arming"
    RELEASING = "releasing"


@dataclass(slots=True)
class MapChange:
    """Orders that lead one group to the map that is wanted.

    Parameters
    ----------
    fencing_token : int
        Token of the leader's lease.
    phase : ChangePhase
        Where the group stood at the last decision.
    wanted_version : int
        The map to change to; 0 for none.
    """

    fencing_token: int
    phase: ChangePhase = ChangePhase.IDLE
    wanted_version: int = 0
    _wanted: ExpertMap = field(default=(), repr=False)
    _epoch: int = -1
    _hold_step: int = 0

    @property
    def is_idle(self) -> bool:
        """Whether a new map may be wanted."""
        return self.phase is ChangePhase.IDLE

    def want(self, version: int, experts_by_rank: ExpertMap, epoch: int) -> None:
        """Begin to change to a map that was planned for an epoch."""
        self.wanted_version = version
        self._wanted = experts_by_rank
        self._epoch = epoch
        self._hold_step = 0
        self.phase = ChangePhase.PREPARING

    def give_up(self) -> None:
        """Forget a map that is not prepared everywhere; nothing was armed for it."""
        self.wanted_version = 0
        self._wanted = ()
        self._hold_step = 0
        self.phase = ChangePhase.IDLE

    def decide(self, view: GroupView) -> list[RankOrder]:
        """Return the orders that are due by the states of all ranks."""
        unfenced = [s for s in view.states if s.fencing_token < self.fencing_token]
        if unfenced:
            self.phase = ChangePhase.FENCING
            return [RankOrder(s.rank_id, OrderAction.FENCE, s.epoch) for s in unfenced]
        if self.wanted_version and view.epoch != self._epoch:
            self.give_up()
        if view.armed:
            return self._commit(view)
        if view.held:
            return self._decide_held(view)
        return self._decide_free(view)

    def _decide_held(self, view: GroupView) -> list[RankOrder]:
        """Go on from a held step without an armed rank.

        While ranks differ in what they have prepared, no leader can have sent an
        order to arm for the held step: it is a late hold, and is released.
        """
        if not view.common_prepared_version:
            return self._release(view)
        if view.common_prepared_version == view.common_map_version:
            return self._release(view)
        return self._commit(view)

    def _decide_free(self, view: GroupView) -> list[RankOrder]:
        if not self.wanted_version:
            self.phase = ChangePhase.IDLE
            return []
        if view.common_map_version == self.wanted_version:
            self.give_up()
            return []
        missing = [s for s in view.states if s.prepared_version != self.wanted_version]
        if missing:
            self.phase = ChangePhase.PREPARING
            return [self._prepare(state) for state in missing]
        self.phase = ChangePhase.HOLDING
        if self._hold_step <= view.step:
            self._hold_step = view.step + HOLD_LEAD_STEPS
        holder = view.states[0]
        return [
            RankOrder(
                holder.rank_id, OrderAction.HOLD, view.epoch, step=self._hold_step
            )
        ]

    def _commit(self, view: GroupView) -> list[RankOrder]:
        """Arm every rank for the held step, and release it when all are armed."""
        armed = view.armed
        version = armed[0].armed_version if armed else view.common_prepared_version
        step = armed[0].armed_step if armed else view.held[0].held_step or 0
        missing = [s for s in view.states if s.armed_version != version]
        if not missing:
            return self._release(view)
        self.phase = ChangePhase.ARMING
        if view.held:
            step = max(state.held_step or 0 for state in view.held)
        return [
            RankOrder(s.rank_id, OrderAction.ARM, view.epoch, version, step)
            for s in missing
            if s.map_version != version
        ]

    def _release(self, view: GroupView) -> list[RankOrder]:
        self.phase = ChangePhase.RELEASING
        return [
            RankOrder(s.rank_id, OrderAction.GO, view.epoch, step=s.held_step or 0)
            for s in view.held
        ]

    def _prepare(self, state: RankState) -> RankOrder:
        return RankOrder(
            state.rank_id,
            OrderAction.PREPARE,
            state.epoch,
            self.wanted_version,
            experts_by_rank=self._wanted,
        )
