"""Execution of the changes of the rules that operators send to this entry."""

import asyncio
import contextlib
from dataclasses import dataclass, field
from typing import Any

from bluebellusher.links import EventSink, PeerLinks
from bluebellusher.platform import PlatformError
from bluebellusher.rollout._compression import compress_text, decompress_text
from bluebellusher.rollout._domains import DomainView
from bluebellusher.rollout._in_force import (
    ConfigInForce,
    ConfigSource,
    find_rules_errors,
)
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
_ADVANCE_INTERVAL_S = 0.05
# Time between two attempts to determine the final state of an unknown change.
_RESOLVE_INTERVAL_S = 1.0
# Time after which the background task stops trying to determine that state.
_RESOLVE_TIMEOUT_MS = 600_000


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """Change that an operator sent, with a rules text that this entry can parse.

    Parameters
    ----------
    change_id : str
        Id that the operator's command gave to the change.
    base_version : int
        Number of the version that the operator edited.
    rules_text : str
        Text of the whole new rules file.
    author : str
        Author named in the request.
    operator : str
        Name of the operator whose credential the request has.
    without_domains : tuple of str
        Failure domains that are cut off and need not stage the change.
    """

    change_id: str
    base_version: int
    rules_text: str
    author: str
    operator: str
    without_domains: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """State of a change for the operator.

    Parameters
    ----------
    state : ChangeState
        Accepted, refused or unknown.
    version : int
        Number of the accepted version; 0 when the change is not accepted.
    reason : str
        Reason why the change is refused or unknown.
    head : ConfigVersion or None
        Last accepted version, for a refused change.
    """

    state: ChangeState
    version: int = 0
    reason: str = ""
    head: ConfigVersion | None = None


@dataclass(slots=True)
class _RunningChange:
    """Proposal that is in progress.

    ``wakeup`` is set when the proposal received an input and can advance, and
    ``written_version`` is the version that this entry wrote to the table.
    """

    proposal: ChangeProposal
    wakeup: asyncio.Event = field(default_factory=asyncio.Event)
    written_version: ConfigVersion | None = None


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
        self._running_by_id: dict[str, _RunningChange] = {}
        self._task_by_id: dict[str, asyncio.Task[ChangeResult]] = {}
        self._resolve_tasks: set[asyncio.Task[None]] = set()

    async def apply(self, change: ChangeRequest) -> ChangeResult:
        """Execute a change and return its result.

        The change continues when the operator's connection is lost. A repeated call
        with the id of a change that is in progress waits for the same result.
        """
        task = self._task_by_id.get(change.change_id)
        if task is None:
            task = asyncio.create_task(self._run(change))
            self._task_by_id[change.change_id] = task
            task.add_done_callback(lambda _: self._discard(change.change_id))
        return await asyncio.shield(task)

    def is_running(self, change_id: str) -> bool:
        """Return whether this entry is still executing the change."""
        return change_id in self._task_by_id

    async def close(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = [*self._task_by_id.values(), *self._resolve_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def receive_stage(self, peer_id: str, stage: Any) -> None:
        """Reply to a peer whether this entry can parse the rules of a change."""
        errors = find_rules_errors(decompress_text(stage.rules_text or ""))
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
        domain = self._domains.domain_by_peer().get(peer_id)
        if running is not None and domain is not None:
            reply = StagingReply(
                peer_id, domain, bool(staged.is_staged), staged.reason or ""
            )
            running.proposal.receive_staging_reply(reply)
            running.wakeup.set()

    async def _run(self, change: ChangeRequest) -> ChangeResult:
        """Execute a change from reading its rows to logging its result."""
        try:
            rows = await self._table.read_rows(change.change_id)
        except PlatformError as error:
            # The state is unknown, because an earlier attempt of the operator with the
            # same change id may have been accepted.
            return ChangeResult(ChangeState.UNKNOWN, reason=f"the table: {error}")
        await self._domains.refresh()
        proposal = ChangeProposal(
            change_id=change.change_id,
            base_version=change.base_version,
            rules_text=change.rules_text,
            author=change.author,
            rows=rows,
            peers_by_domain=self._domains.peers_by_domain(change.without_domains),
            started_at_ms=self._clock.now_ms(),
            wall_ms=self._clock.wall_ms(),
        )
        running = _RunningChange(proposal)
        self._running_by_id[change.change_id] = running
        await self._advance(running, change)
        result = await self._conclude(running, change)
        self._sink.log(
            "config-change",
            change_id=change.change_id,
            operator=change.operator,
            state=result.state.value,
            version=result.version,
            reason=result.reason,
        )
        return result

    async def _advance(self, running: _RunningChange, change: ChangeRequest) -> None:
        """Execute the effects of a proposal until its state is final."""
        proposal = running.proposal
        while not proposal.is_final:
            running.wakeup.clear()
            for effect in proposal.advance(self._clock.now_ms()):
                if isinstance(effect, RequestStaging):
                    self._links.send(effect.peer_id, _to_stage_message(change))
                else:
                    await self._write(running, effect, change.operator)
                    running.wakeup.set()
            if proposal.is_final:
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_ADVANCE_INTERVAL_S):
                    await running.wakeup.wait()

    async def _write(
        self, running: _RunningChange, effect: WriteChange, operator: str
    ) -> None:
        """Execute a write and pass its result to the proposal."""
        result = await self._table.write_change(effect, operator)
        if result.status is WriteStatus.APPLIED:
            running.written_version = effect.config
        running.proposal.receive_write_result(result)

    async def _conclude(
        self, running: _RunningChange, change: ChangeRequest
    ) -> ChangeResult:
        """Act on the final state of a proposal and return the result."""
        proposal = running.proposal
        if proposal.state is ChangeState.ACCEPTED:
            return await self._put_in_force(running, change)
        if proposal.state is ChangeState.UNKNOWN:
            self._start_resolving(change.change_id)
            return ChangeResult(ChangeState.UNKNOWN, reason=proposal.reason)
        head = await self.read_head()
        return ChangeResult(ChangeState.REFUSED, reason=proposal.reason, head=head)

    async def _put_in_force(
        self, running: _RunningChange, change: ChangeRequest
    ) -> ChangeResult:
        """Put an accepted version into force at this entry, which announces it."""
        version = running.proposal.accepted_version
        config = running.written_version
        if config is None:
            # The row of the change records its acceptance, but no write of this
            # proposal was reported as applied. Either the answer to a write was lost,
            # or the operator repeated an earlier change id, perhaps with another rules
            # text.
            try:
                config = await self._table.read_version(version)
            except PlatformError:
                return ChangeResult(ChangeState.ACCEPTED, version)
        if config.rules_text != change.rules_text:
            reason = f"version {version} has this change id and other rules"
            head = await self.read_head()
            return ChangeResult(ChangeState.REFUSED, reason=reason, head=head)
        self._in_force.offer(config, ConfigSource("operator"))
        return ChangeResult(ChangeState.ACCEPTED, version)

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

    def _start_resolving(self, change_id: str) -> None:
        """Start a background task that resolves an unknown change."""
        task = asyncio.create_task(self._resolve(change_id))
        self._resolve_tasks.add(task)
        task.add_done_callback(self._resolve_tasks.discard)

    async def _resolve(self, change_id: str) -> None:
        """Determine the final state of an unknown change.

        A change without a row in the table is recorded as refused. The attempts end
        after ``_RESOLVE_TIMEOUT_MS``.
        """
        deadline_ms = self._clock.now_ms() + _RESOLVE_TIMEOUT_MS
        while self._clock.now_ms() < deadline_ms:
            with contextlib.suppress(PlatformError):
                resolution = resolve_change(
                    change_id, await self._table.read_rows(change_id)
                )
                if not isinstance(resolution, WriteRefusal):
                    self._sink.log(
                        "config-change", change_id=change_id, state=resolution.value
                    )
                    return
                await self._table.write_refusal(change_id)
                continue
            await asyncio.sleep(_RESOLVE_INTERVAL_S)

    def _discard(self, change_id: str) -> None:
        """Discard the state of a change whose execution has ended."""
        self._task_by_id.pop(change_id, None)
        self._running_by_id.pop(change_id, None)


def _to_stage_message(change: ChangeRequest) -> Any:
    """Return the message that asks a peer to stage a change."""
    return messages.ConfigStage(
        change_id=change.change_id,
        base_version=change.base_version,
        rules_text=compress_text(change.rules_text),
        author=change.author,
    )
