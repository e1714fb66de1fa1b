"""Execution of the changes of the rules that operators send to this entry."""

import asyncio
import contextlib
from dataclasses import dataclass, field
from typing import Any

from bluebellusher.links import EventSink, PeerLinks
from bluebellusher.platform import PlatformError
from bluebellusher.rollout._domains import DomainView
from bluebellusher.rollout._in_force import (
    ConfigInForce,
    ConfigSource,
    find_rules_errors,
)
from bluebellusher.rollout._packed import pack_text, unpack_text
from bluebellusher.rollout._table import ConfigTable
from bluebellusher_core.clock import Clock
from bluebellusher_core.rollout import (
    ChangeProposal,
    ChangeState,
    ConfigVersion,
    RequestStaging,
    StagingReply,
    WriteChange,
    WriteRefusal,
    WriteStatus,
    resolve_change,
)
from bluebellusher_core.wire import messages

# Longest time between two calls of ``ChangeProposal.advance``, which checks the
# timeouts of a proposal.
_STEP_INTERVAL_S = 0.05
# Time between two attempts to determine the final state of an unknown change.
_SETTLE_INTERVAL_S = 1.0
# Time after which the background task stops trying to determine that state.
_SETTLE_LIMIT_MS = 600_000


@dataclass(frozen=True, slots=True)
class ChangeOrder:
    """Change that an operator sent, with a rules text that has no errors."""

    change_id: str
    base_version: int
    rules_text: str
    author: str
    operator: str
    without_domains: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ChangeAnswer:
    """State of a change for the operator; ``head`` is set when it was refused."""

    state: ChangeState
    version: int = 0
    reason: str = ""
    head: ConfigVersion | None = None


@dataclass(slots=True)
class _Running:
    """Proposal that is in progress.

    ``woken`` is set when the proposal received an input and can advance, and
    ``written`` is the version that this entry wrote to the table.
    """

    proposal: ChangeProposal
    woken: asyncio.Event = field(default_factory=asyncio.Event)
    written: ConfigVersion | None = None


class ChangeRunner:
    """Executor of changes: stages, writes and resolves them.

    Parameters
    ----------
    in_force : ConfigInForce
        Receives the accepted versions.
    table : ConfigTable
        Rows of the configuration.
    domains : DomainView
        Failure domains in which a change must be staged.
    links : PeerLinks
        Connections to peers.
    sink : EventSink
        Receives log lines.
    clock : Clock
        Monotonic time for timeouts, and wall time for the time of acceptance.
    """

    def __init__(
        self,
        in_force: ConfigInForce,
        table: ConfigTable,
        domains: DomainView,
        links: PeerLinks,
        sink: EventSink,
        clock: Clock,
    ) -> None:
        self._in_force = in_force
        self._table = table
        self._domains = domains
        self._links = links
        self._sink = sink
        self._clock = clock
        self._running_by_id: dict[str, _Running] = {}
        self._task_by_id: dict[str, asyncio.Task[ChangeAnswer]] = {}
        self._settling: set[asyncio.Task[None]] = set()

    async def apply(self, order: ChangeOrder) -> ChangeAnswer:
        """Execute a change and return its result.

        The change continues when the operator's connection is lost. A repeated call
        with the id of a change that is in progress waits for the same result.
        """
        task = self._task_by_id.get(order.change_id)
        if task is None:
            task = asyncio.create_task(self._run(order))
            self._task_by_id[order.change_id] = task
            task.add_done_callback(lambda _: self._forget(order.change_id))
        return await asyncio.shield(task)

    def is_running(self, change_id: str) -> bool:
        """Return whether this entry is still executing the change."""
        return change_id in self._task_by_id

    async def close(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = [*self._task_by_id.values(), *self._settling]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def receive_stage(self, peer_id: str, stage: Any) -> None:
        """Reply to a peer whether this entry can parse the rules of a change."""
        errors = find_rules_errors(unpack_text(stage.rules_text or ""))
        staged = messages.ConfigStaged(
            change_id=stage.change_id,
            failure_domain=self._domains.own_domain,
            is_staged=not errors,
            reason="; ".join(errors[:3]),
        )
        self._links.send(peer_id, staged)

    def receive_staging_reply(self, peer_id: str, staged: Any) -> None:
        """Pass the reply of a peer to the proposal that asked for staging."""
        running = self._running_by_id.get(staged.change_id)
        domain = self._domains.connected().get(peer_id)
        if running is not None and domain is not None:
            reply = StagingReply(
                peer_id, domain, bool(staged.is_staged), staged.reason or ""
            )
            running.proposal.receive_staging_reply(reply)
            running.woken.set()

    async def _run(self, order: ChangeOrder) -> ChangeAnswer:
        """Execute a change from reading its rows to logging its result."""
        try:
            rows = await self._table.read_rows(order.change_id)
        except PlatformError as error:
            # The state is unknown, because an earlier attempt of the operator with the
            # same change id may have been accepted.
            return ChangeAnswer(
                ChangeState.UNKNOWN, reason=f"the table could not be read: {error}"
            )
        await self._domains.refresh()
        proposal = ChangeProposal(
            change_id=order.change_id,
            base_version=order.base_version,
            rules_text=order.rules_text,
            author=order.author,
            rows=rows,
            peers_by_domain=self._domains.peers_by_domain(order.without_domains),
            started_at_ms=self._clock.now_ms(),
            wall_ms=self._clock.wall_ms(),
        )
        running = _Running(proposal)
        self._running_by_id[order.change_id] = running
        await self._advance(running, order)
        answer = await self._finish(running, order)
        self._sink.log(
            "config-change",
            change_id=order.change_id,
            operator=order.operator,
            state=answer.state.value,
            version=answer.version,
            reason=answer.reason,
        )
        return answer

    async def _advance(self, running: _Running, order: ChangeOrder) -> None:
        """Execute the effects of a proposal until its state is final."""
        proposal = running.proposal
        while not proposal.is_final:
            running.woken.clear()
            for step in proposal.advance(self._clock.now_ms()):
                if isinstance(step, RequestStaging):
                    self._links.send(step.peer_id, _to_stage(order))
                else:
                    await self._write(running, step, order.operator)
                    running.woken.set()
            if proposal.is_final:
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_STEP_INTERVAL_S):
                    await running.woken.wait()

    async def _write(self, running: _Running, step: WriteChange, operator: str) -> None:
        """Execute a write and pass its result to the proposal."""
        result = await self._table.write_change(step, operator)
        if result.status is WriteStatus.APPLIED:
            running.written = step.config
        running.proposal.receive_write_result(result)

    async def _finish(self, running: _Running, order: ChangeOrder) -> ChangeAnswer:
        """Act on the final state of a proposal and return the result."""
        proposal = running.proposal
        if proposal.state is ChangeState.ACCEPTED:
            return await self._take(running, order)
        if proposal.state is ChangeState.UNKNOWN:
            self._start_settling(order.change_id)
            return ChangeAnswer(ChangeState.UNKNOWN, reason=proposal.reason)
        head = await self.read_head()
        return ChangeAnswer(ChangeState.REFUSED, reason=proposal.reason, head=head)

    async def _take(self, running: _Running, order: ChangeOrder) -> ChangeAnswer:
        """Put an accepted version into force at this entry, which announces it."""
        version = running.proposal.accepted_version
        config = running.written
        if config is None:
            # The row of the change was present, but no write of this proposal was
            # answered. Either the answer was lost, or the operator repeated an earlier
            # change id, perhaps with another rules text.
            try:
                config = await self._table.read_version(version)
            except PlatformError:
                return ChangeAnswer(ChangeState.ACCEPTED, version)
        if config.rules_text != order.rules_text:
            reason = f"version {version} has this change id and other rules"
            head = await self.read_head()
            return ChangeAnswer(ChangeState.REFUSED, reason=reason, head=head)
        self._in_force.offer(config, ConfigSource("operator"))
        return ChangeAnswer(ChangeState.ACCEPTED, version)

    async def read_head(self) -> ConfigVersion | None:
        """Return the head with its rules text.

        The version in force at this entry is returned when the table is unavailable
        or has no higher version.
        """
        try:
            _, head = await self._table.read_head()
            if head is not None and head.version > self._in_force.version:
                return await self._table.read_version(head.version)
        except PlatformError as error:
            self._sink.log("config-head-unknown", error=str(error))
        return self._in_force.current

    def _start_settling(self, change_id: str) -> None:
        task = asyncio.create_task(self._settle(change_id))
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)

    async def _settle(self, change_id: str) -> None:
        """Determine the final state of an unknown change.

        A change without a row in the table is recorded as refused. The attempts end
        after ``_SETTLE_LIMIT_MS``.
        """
        until_ms = self._clock.now_ms() + _SETTLE_LIMIT_MS
        while self._clock.now_ms() < until_ms:
            with contextlib.suppress(PlatformError):
                outcome = resolve_change(
                    change_id, await self._table.read_rows(change_id)
                )
                if not isinstance(outcome, WriteRefusal):
                    self._sink.log(
                        "config-change", change_id=change_id, state=outcome.value
                    )
                    return
                await self._table.write_refusal(change_id)
                continue
            await asyncio.sleep(_SETTLE_INTERVAL_S)

    def _forget(self, change_id: str) -> None:
        self._task_by_id.pop(change_id, None)
        self._running_by_id.pop(change_id, None)


def _to_stage(order: ChangeOrder) -> Any:
    return messages.ConfigStage(
        change_id=order.change_id,
        base_version=order.base_version,
        rules_text=pack_text(order.rules_text),
        author=order.author,
    )
