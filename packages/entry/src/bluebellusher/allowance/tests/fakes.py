"""In-memory platform with scripted faults, and rules with a budget."""

from expression import Error, Ok

from bluebellusher.platform import (
    PlatformNotDoneError,
    PlatformOutcomeUnknownError,
    Row,
    TransactConflictError,
)
from bluebellusher_core.clock import ManualClock
from bluebellusher_standins._table import Table


def make_rules_text(budget: str, exhausted: str = "refuse") -> str:
    """Return rules text with a budget and a when-exhausted rule of customer c1."""
    lines = [
        "currency JPY",
        "month-zone Asia/Tokyo",
        "capacity reply-writer 10",
        "engine-price reply-writer 1 per hour",
        "engines reply-writer 1 Asia/Tokyo",
        "customer c1",
        f"budget c1 {budget} per month",
        f"when-exhausted c1 {exhausted}",
    ]
    for model, factor in (("model-a", 10), ("model-b", 1)):
        lines.append(f"model {model} on reply-writer")
        for kind, price in (("input", 20), ("cached", 10), ("output", 50)):
            lines.append(f"token-price {model} {kind} {price * factor} per million")
    return "".join(f"{line} # Mio: agreed\n" for line in lines)


class FakePlatform:
    """Table and object store in which each call takes the next of the ``faults``.

    ``ok`` executes the call, ``lost`` executes it and loses the answer, and ``down``
    fails without executing it.
    """

    def __init__(self, clock: ManualClock) -> None:
        self.table = Table(clock)
        self.object_by_name: dict[str, bytes] = {}
        self.faults: list[str] = []
        self.n_transactions = 0

    async def transact(self, conditions, puts):
        """Execute a transaction on the table under the next fault."""
        self.n_transactions += 1
        return self._answer(lambda: self._transact(conditions, puts))

    async def read_row(self, key):
        """Read a row of the table under the next fault."""
        row = self.table.read(key)
        return self._answer(lambda: Ok(Row(row.key, row.version, row.value)))

    async def put_object(self, name, data):
        """Store an object under the next fault."""
        return self._answer(lambda: self._put(name, data))

    def _put(self, name, data):
        assert self.object_by_name.setdefault(name, data) == data
        return Ok(None)

    def _transact(self, conditions, puts):
        answer = self.table.transact(conditions, puts)
        if isinstance(answer, int):
            return Ok(answer)
        rows = tuple(Row(r.key, r.version, r.value) for r in answer)
        return Error(TransactConflictError("transact", "table", rows))

    def _answer(self, execute):
        fault = self.faults.pop(0) if self.faults else "ok"
        if fault == "down":
            return Error(PlatformNotDoneError("call", "platform", "down"))
        answer = execute()
        if fault == "lost":
            return Error(PlatformOutcomeUnknownError("call", "platform", "lost"))
        return answer
