"""Leader's side of a change of expert maps.

The orders follow from the observed states alone, so that a new leader goes on where
the last one stopped:

1. Fence: every agent knows the leader's token before its state counts, and refuses
   orders of earlier leaders from then on. This is done twice. States that carry the
   second token were read after the last agent was fenced with the first one, so that
   they show everything that earlier leaders acted upon.
2. Prepare one version everywhere. Versions contain the token, so that two leaders
   never give one version to two maps.
3. Hold a step at one rank, and wait until it is seen held there. A hold lasts until
   it is released, hence the group does not begin that step.
4. Arm every rank for that step. No order to arm is sent before the hold was seen.
5. Release the step once every rank was seen armed, and never before.

An order without an answer may still be carried out seconds later. A late prepare has
an old version and is refused; a late hold or arm is refused once its step has begun,
and a step only begins when all ranks are armed for it. From step 4 on the change is
completed and never taken back, because an order to arm may be on its way. A group
that is formed anew forgets everything, and refuses orders of its earlier epoch.

A hold that is carried out late, while ranks differ in what they have prepared, is not
simply released: the release could be late in turn, and come when ranks are being armed
for the same step. The step is used instead, for a map that the leader prepares then.
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

# Passes between the latest known one and the one to hold. With two, ranks are armed
# while the pass before the held one runs, and the group does not wait where no order
# is lost; each further one delays every change by a pass.
HOLD_LEAD_STEPS = 2
# Versions carry the leader's token, so that no two leaders use the same one.
VERSIONS_PER_TOKEN = 2**20
# Each leader fences twice.
FENCES_PER_TOKEN = 2
# Engines carry out an unanswered order within 12 s.
LATE_ORDER_MS = 13_000


class ChangePhase(StrEnum):
    """Where a group stands."""

    IDLE = "idle"
    FENCING = "fencing"
    PREPARING = "preparing"
    HOLDING = "holding"
    BLOCKED = "blocked"
    ARMING = "arming"
    RELEASING = "releasing"


def leader_token_of(fencing_token: int) -> int:
    """Return the token of the leader that fenced an agent with ``fencing_token``."""
    return fencing_token // FENCES_PER_TOKEN


@dataclass(slots=True)
class MapChange:
    """Orders that lead one group to the map that is wanted.

    Parameters
    ----------
    leader_token : int
        Token of the leader's lease.
    phase : ChangePhase
        Where the group stood at the last decision. In ``BLOCKED`` a step is held that
        can only be used with another map; want the present one again.
    wanted_version : int
        The map to change to; 0 for none.
    """

    leader_token: int
    phase: ChangePhase = ChangePhase.IDLE
    wanted_version: int = 0
    _wanted: ExpertMap = field(default=(), repr=False)
    _wanted_epoch: int = -1
    _epoch: int = -1
    _n_versions: int = 0
    _hold_step: int = 0
    # Whether an own order to prepare may be on its way in this epoch.
    _has_prepared: bool = False
    # The step that is held, and when it was first seen held.
    _held: tuple[int, int] = (0, 0)

    @property
    def is_idle(self) -> bool:
        """Whether a new map may be wanted."""
        return self.phase is ChangePhase.IDLE

    @property
    def is_blocked(self) -> bool:
        """Whether a held step waits for a map to be wanted."""
        return self.phase is ChangePhase.BLOCKED

    def want(self, experts_by_rank: ExpertMap, epoch: int) -> int:
        """Begin to change to a map of an epoch; return its version."""
        self._n_versions += 1
        self.wanted_version = self.leader_token * VERSIONS_PER_TOKEN + self._n_versions
        self._wanted = experts_by_rank
        self._wanted_epoch = epoch
        self._hold_step = 0
        self.phase = ChangePhase.PREPARING
        return self.wanted_version

    def give_up(self) -> None:
        """Forget a map that is not prepared everywhere; nothing was armed for it."""
        self.wanted_version = 0
        self._wanted = ()
        self._hold_step = 0
        self.phase = ChangePhase.IDLE

    def decide(self, view: GroupView, now_ms: int) -> list[RankOrder]:
        """Return the orders that are due by the states of all ranks."""
        first = self.leader_token * FENCES_PER_TOKEN
        for token in range(first, first + FENCES_PER_TOKEN):
            unfenced = [s for s in view.states if s.fencing_token < token]
            if unfenced:
                self.phase = ChangePhase.FENCING
                return [
                    RankOrder(s.rank_id, OrderAction.FENCE, s.epoch, 0, 0, (), token)
                    for s in unfenced
                ]
        if view.epoch != self._epoch:
            self._epoch = view.epoch
            self._has_prepared = False
            self._held = (0, 0)
        if self.wanted_version and view.epoch != self._wanted_epoch:
            self.give_up()
        if view.armed:
            return self._go_on_armed(view)
        if view.held:
            return self._decide_held(view, now_ms)
        return self._decide_free(view)

    def _go_on_armed(self, view: GroupView) -> list[RankOrder]:
        """Arm the other ranks for the same step, and release it when all are armed."""
        version, step = view.armed[0].armed_version, view.armed[0].armed_step
        missing = [s for s in view.states if s.armed_version != version]
        if missing:
            if view.held:
                step = max(state.held_step or 0 for state in view.held)
            return self._arm(missing, version, step)
        self.phase = ChangePhase.RELEASING
        return [
            self._order(s, OrderAction.GO, step=s.held_step or 0) for s in view.held
        ]

    def _decide_held(self, view: GroupView, now_ms: int) -> list[RankOrder]:
        """Use a held step for which no rank is armed yet."""
        step = view.held[0].held_step or 0
        if self._held[0] != step:
            self._held = (step, now_ms)
        version = view.common_prepared_version
        if version and version != view.common_map_version:
            if self._may_arm(version, now_ms - self._held[1]):
                return self._arm(view.states, version, step)
            if not self._has_prepared:
                # An order to arm for this version may be on its way.
                self.phase = ChangePhase.ARMING
                return []
        if not self.wanted_version:
            self.phase = ChangePhase.BLOCKED
            return []
        self.phase = ChangePhase.PREPARING
        return self._prepare(view)

    def _may_arm(self, version: int, held_ms: int) -> bool:
        """Return whether no order to prepare another version can be on its way.

        One that is carried out between two orders to arm would leave the ranks with
        different maps. Earlier leaders prepare nothing while they see a held step, but
        the step may have been held late.
        """
        if version == self.wanted_version:
            return True
        if self._has_prepared:
            return False
        is_of_last_leader = version // VERSIONS_PER_TOKEN == self.leader_token - 1
        return is_of_last_leader or held_ms >= LATE_ORDER_MS

    def _decide_free(self, view: GroupView) -> list[RankOrder]:
        if not self.wanted_version:
            self.phase = ChangePhase.IDLE
            return []
        if view.common_map_version == self.wanted_version:
            self.give_up()
            return []
        orders = self._prepare(view)
        if orders:
            self.phase = ChangePhase.PREPARING
            return orders
        self.phase = ChangePhase.HOLDING
        if self._hold_step <= view.step:
            self._hold_step = view.step + HOLD_LEAD_STEPS
        return [self._order(view.states[0], OrderAction.HOLD, step=self._hold_step)]

    def _prepare(self, view: GroupView) -> list[RankOrder]:
        """Return the orders to prepare the wanted map where it is missing."""
        missing = [s for s in view.states if s.prepared_version != self.wanted_version]
        self._has_prepared = self._has_prepared or bool(missing)
        return [
            self._order(
                state, OrderAction.PREPARE, self.wanted_version, experts=self._wanted
            )
            for state in missing
        ]

    def _arm(self, states: list[RankState], version: int, step: int) -> list[RankOrder]:
        self.phase = ChangePhase.ARMING
        return [
            self._order(state, OrderAction.ARM, version, step)
            for state in states
            if state.map_version != version
        ]

    def _order(
        self,
        state: RankState,
        action: OrderAction,
        version: int = 0,
        step: int = 0,
        experts: ExpertMap = (),
    ) -> RankOrder:
        token = (self.leader_token + 1) * FENCES_PER_TOKEN - 1
        return RankOrder(
            state.rank_id, action, state.epoch, version, step, experts, token
        )
