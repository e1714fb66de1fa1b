"""Test model of a group: its engines, their agents and a network that delays orders."""

from dataclasses import dataclass

from bluebellusher_core.ranks import OrderAction, RankOrder, RankState


@dataclass
class Engine:
    """Model of the engine of one rank; it accepts and refuses orders as engines do.

    ``prepared`` has the version and the content of the prepared map. ``armed`` has the
    version, the first step that uses it and the content of the armed map.
    """

    rank: int
    n_ranks: int
    epoch: int = 1
    map_version: int = 0
    map_content: object = ""
    prepared: tuple = (0, "")
    highest_version: int = 0
    armed: tuple | None = None
    held_step: int | None = None

    def execute(self, order: RankOrder, step: int) -> None:
        """Carry out an order if it is valid in the current state, else ignore it."""
        if order.epoch != self.epoch:
            return
        match order.action:
            case OrderAction.PREPARE:
                if order.map_version > self.highest_version and not self.armed:
                    self.highest_version = order.map_version
                    self.prepared = (order.map_version, order.expert_map)
            case OrderAction.HOLD:
                if order.step > step and self.held_step is None:
                    self.held_step = order.step
            case OrderAction.ARM:
                if order.step > step and self.prepared[0] == order.map_version:
                    self.armed = (order.map_version, order.step, self.prepared[1])
            case OrderAction.RELEASE:
                if self.held_step == order.step:
                    self.held_step = None


class Group:
    """Model of all ranks of a group and their agents.

    An agent refuses orders with a fencing token below the highest one that it has
    accepted. The engine may carry out an accepted order much later, and may carry out
    several of them in any sequence.
    """

    def __init__(self, n_ranks: int) -> None:
        self.engines = [Engine(rank, n_ranks) for rank in range(n_ranks)]
        self.token_by_rank = [0] * n_ranks
        self.step = 0
        self.orders_in_transit: list[RankOrder] = []
        self.accepted: list[tuple[int, RankOrder]] = []
        self.n_switches = 0

    def send(self, orders: list[RankOrder]) -> None:
        """Send orders to the agents; they stay in transit until they are delivered."""
        self.orders_in_transit += orders

    def deliver(self, index: int) -> None:
        """Deliver one order in transit to its agent, which accepts or refuses it."""
        order = self.orders_in_transit.pop(index % len(self.orders_in_transit))
        rank = int(order.rank_id)
        if order.fencing_token < self.token_by_rank[rank]:
            return
        self.token_by_rank[rank] = order.fencing_token
        self.accepted.append((rank, order))

    def deliver_directly(self, index: int) -> None:
        """Deliver an order to arm or release to its engine, bypassing the agent."""
        order = self.orders_in_transit[index % len(self.orders_in_transit)]
        if order.action in (OrderAction.ARM, OrderAction.RELEASE):
            self.orders_in_transit.remove(order)
            self.accepted.append((int(order.rank_id), order))

    def execute(self, index: int) -> None:
        """Make an engine carry out one accepted order."""
        rank, order = self.accepted.pop(index % len(self.accepted))
        self.engines[rank].execute(order, self.step)

    def start_pass(self) -> None:
        """Start the next pass unless a rank holds its step.

        Raises
        ------
        AssertionError
            When the ranks start the pass with different maps.
        """
        step = self.step + 1
        if any(engine.held_step == step for engine in self.engines):
            return
        self.step = step
        for engine in self.engines:
            if engine.armed is not None and engine.armed[1] == step:
                engine.map_version, _, engine.map_content = engine.armed
                engine.armed = None
                self.n_switches += engine.rank == 0
        maps = {(e.map_version, repr(e.map_content)) for e in self.engines}
        assert len(maps) == 1, f"pass {step} starts with different maps {maps}"

    def form_again(self) -> None:
        """Form the group again in a new epoch, as after the crash of a rank."""
        n_ranks, epoch = len(self.engines), self.engines[0].epoch + 1
        self.engines = [Engine(rank, n_ranks, epoch) for rank in range(n_ranks)]

    def get_state(self, rank: int) -> RankState:
        """Return the state that the agent of a rank reports now."""
        engine = self.engines[rank]
        armed = engine.armed or (0, 0, "")
        return RankState(
            rank_id=str(rank),
            group_id="g",
            epoch=engine.epoch,
            rank=rank,
            n_ranks=len(self.engines),
            is_open=True,
            step=self.step,
            map_version=engine.map_version,
            prepared_version=engine.prepared[0],
            armed_version=armed[0],
            armed_step=armed[1],
            held_step=engine.held_step,
            fencing_token=self.token_by_rank[rank],
        )
