"""Simulated connections, endpoints and claim table, and the checked invariants."""

from bluebellusher_core.effects import (
    ClaimState,
    Complete,
    Reject,
)
from bluebellusher_core.errors import Outcome, Reason
from bluebellusher_core.events import (
    AttemptAccepted,
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    AttemptStarted,
    ClaimsAnswered,
    ClaimsUnanswered,
    DigestReceived,
    EndpointConnected,
    EndpointCrashed,
    EndpointDraining,
    EndpointInfo,
    EndpointLost,
    Usage,
)
from bluebellusher_core.reducer.tests._entry_simulation import EntrySimulation
from bluebellusher_core.reducer.tests._fakes import expected_answer


class Simulation(EntrySimulation):
    """Delivers messages between entries and endpoints, with faults, and counts runs."""

    # Connections.

    def connect_all(self):
        """Open every connection that is closed."""
        for entry_id, endpoint_id in self.links:
            self.connect(entry_id, endpoint_id)

    def connect(self, entry_id, endpoint_id):
        """Open a connection to a running agent, unless it is open.

        The entry observes the loss of the previous connection first.
        """
        link = self.links[entry_id, endpoint_id]
        endpoint = self.endpoint_by_id[endpoint_id]
        if link.is_open or not endpoint.is_up:
            return
        self.report_loss(entry_id, endpoint_id)
        link.is_open, link.is_loss_reported = True, False
        entry = self.entry_by_id[entry_id]
        entry.draining_endpoint_ids.discard(endpoint_id)
        names = frozenset("s"), frozenset("m"), frozenset()
        info = EndpointInfo(endpoint_id, "d", *names, 3, endpoint.incarnation)
        if endpoint.is_draining:
            link.to_entry.append(("drain",))
        self.handle_event(entry, EndpointConnected(info))

    def cut_connection(self, entry_id, endpoint_id):
        """Cut a connection and lose its messages in flight.

        The entry does not observe the loss yet.
        """
        link = self.links[entry_id, endpoint_id]
        link.is_open = False
        link.to_endpoint.clear()
        link.to_entry.clear()

    def report_loss(self, entry_id, endpoint_id):
        """Report the loss of a connection to its entry, unless that was done before.

        Its attempts break first, as the relay reports them.
        """
        link = self.links[entry_id, endpoint_id]
        if link.is_open or link.is_loss_reported:
            return
        link.is_loss_reported = True
        link.to_endpoint.clear()
        entry = self.entry_by_id[entry_id]
        entry.draining_endpoint_ids.discard(endpoint_id)
        attempts = entry.endpoint_by_attempt.items()
        for attempt_id in [a for a, e in attempts if e == endpoint_id]:
            self.break_attempt(entry, endpoint_id, attempt_id, Reason.ENDPOINT_LOST)
        self.handle_event(entry, EndpointLost(endpoint_id))

    def check_other_attempts_ended(self, entry, attempt_id):
        """Check that a started attempt is the only open attempt of its request."""
        request_id = entry.request_by_open_attempt.get(attempt_id)
        if request_id is not None:
            n_open = list(entry.request_by_open_attempt.values()).count(request_id)
            assert n_open == 1, "another attempt of the request is not cancelled"

    def break_attempt(self, entry, endpoint_id, attempt_id, reason, is_resumable=False):
        """Report an attempt as broken to its entry, as the relay does."""
        entry.endpoint_by_attempt.pop(attempt_id, None)
        request_id = entry.request_by_open_attempt.pop(attempt_id, None)
        is_loss = reason is Reason.ENDPOINT_LOST
        if request_id is not None:
            is_crash = is_loss or attempt_id in entry.crashed_attempt_ids
            entry.last_end_by_request[request_id] = "lost" if is_crash else "broken"
        request_id = entry.request_by_attempt.get(attempt_id)
        n_bytes = len(entry.text_by_request.get(request_id, ""))
        self.handle_event(
            entry,
            AttemptBroken(
                attempt_id, reason, n_bytes, is_loss or is_resumable, endpoint_id
            ),
        )

    def deliver_to_entry(self, entry_id, endpoint_id, is_repeated=False):
        """Deliver the oldest message to an entry; return whether there was one.

        ``is_repeated`` delivers a message other than a chunk twice.
        """
        link = self.links[entry_id, endpoint_id]
        if not link.to_entry:
            return False
        message = link.to_entry.popleft()
        entry = self.entry_by_id[entry_id]
        self.handle_message(entry, endpoint_id, message)
        if is_repeated and message[0] != "chunk":
            self.handle_message(entry, endpoint_id, message)
        return True

    def handle_message(self, entry, endpoint_id, message):
        """Translate an endpoint's message into an event and apply it to the entry."""
        kind, *rest = message
        if kind == "chunk":
            return self.relay_chunk(entry, endpoint_id, *rest)
        if kind == "drain":
            entry.draining_endpoint_ids.add(endpoint_id)
            return self.handle_event(entry, EndpointDraining(endpoint_id))
        if kind == "crash":
            entry.crashed_attempt_ids.update(rest[1])
            return self.handle_event(entry, EndpointCrashed(endpoint_id, *rest))
        attempt_id = rest[0]
        if kind == "started":
            self.handle_event(entry, AttemptStarted(attempt_id, endpoint_id))
            return self.check_other_attempts_ended(entry, attempt_id)
        if kind == "accepted":
            return self.handle_event(entry, AttemptAccepted(attempt_id, endpoint_id))
        if kind == "broken":
            return self.break_attempt(entry, endpoint_id, *rest)
        if entry.endpoint_by_attempt.get(attempt_id) == endpoint_id:
            del entry.endpoint_by_attempt[attempt_id]
            request_id = entry.request_by_open_attempt.pop(attempt_id)
            entry.last_end_by_request[request_id] = "refused"
        if kind == "refused":
            event = AttemptRefused(attempt_id, rest[1], 30, endpoint_id)
        else:
            event = AttemptFinished(attempt_id, 200, rest[1], Usage(), endpoint_id)
        return self.handle_event(entry, event)

    def relay_chunk(self, entry, endpoint_id, attempt_id, offset, data):
        """Relay a chunk to the caller if its attempt is open and its offset is next."""
        if entry.endpoint_by_attempt.get(attempt_id) != endpoint_id:
            return
        request_id = entry.request_by_attempt[attempt_id]
        if self.finals_by_request[request_id] or offset != len(
            entry.text_by_request[request_id]
        ):
            return
        self.relayed_request_ids.add(request_id)
        entry.text_by_request[request_id] += data

    # Endpoints.

    def deliver_to_endpoint(self, entry_id, endpoint_id):
        """Deliver the oldest message to an endpoint; return whether there was one."""
        link = self.links[entry_id, endpoint_id]
        if not link.to_endpoint:
            return False
        kind, *rest = link.to_endpoint.popleft()
        endpoint = self.endpoint_by_id[endpoint_id]
        if not link.is_open or not endpoint.is_up:
            return True
        if kind == "cancel":
            endpoint.run_by_attempt.pop(rest[0], None)
            return True
        effect, spec = rest
        message = endpoint.receive_dispatch(entry_id, effect, spec)
        if message is not None:
            link.to_entry.append(message)
        is_started = message is None or message[0] == "accepted"
        if is_started:
            self.count_run(spec)
        return True

    def count_run(self, spec):
        """Count an execution by its request and by its idempotency key."""
        self.n_runs_by_request[spec.request_id] += 1
        if spec.idempotency_key is not None and not spec.is_idempotent:
            self.n_runs_by_key[spec.idempotency_key] += 1

    def advance_run(self, endpoint, run, is_agent_lost=False):
        """Advance a run by one chunk, or crash its endpoint if the request is poison.

        ``is_agent_lost`` states whether the agent ends together with the engine.
        """
        if endpoint.is_frozen:
            return
        if run.spec.fingerprint not in self.poison_fingerprints:
            for message in endpoint.produce_messages(run):
                self.send_to_entry(endpoint, run, message)
            return
        self.n_lost_by_fingerprint[run.spec.fingerprint] += 1
        if is_agent_lost:
            self.kill_endpoint(endpoint)
        else:
            self.crash_engine(endpoint)

    def send_to_entry(self, endpoint, run, message):
        """Send a message to the entry of a run if their connection is open."""
        link = self.links[run.entry_id, endpoint.endpoint_id]
        if link.is_open:
            link.to_entry.append(message)

    def break_run(self, endpoint, run, is_resumable):
        """Break one stream without a crash.

        ``is_resumable`` states whether the engine keeps the run for a resumed attempt.
        """
        if not is_resumable:
            del endpoint.run_by_attempt[run.attempt_id]
        reason = Reason.STREAM_CORRUPT if is_resumable else Reason.ENGINE_ERROR
        self.send_to_entry(
            endpoint, run, ("broken", run.attempt_id, reason, is_resumable)
        )

    def crash_engine(self, endpoint):
        """End every run of an engine; its agent reports the crash to all entries."""
        runs = endpoint.unfinished_runs()
        endpoint.run_by_attempt.clear()
        isolated = [r.spec.fingerprint for r in runs if r.is_isolated]
        message = (
            "crash",
            tuple(run.spec.fingerprint for run in runs),
            tuple(run.attempt_id for run in runs),
            isolated[0] if isolated else None,
        )
        for entry_id in self.entry_by_id:
            link = self.links[entry_id, endpoint.endpoint_id]
            if link.is_open:
                link.to_entry.append(message)
        for run in runs:
            broken = ("broken", run.attempt_id, Reason.ENGINE_ERROR)
            self.send_to_entry(endpoint, run, broken)

    def kill_endpoint(self, endpoint):
        """End the agent and the engine of an endpoint together."""
        endpoint.is_up = False
        endpoint.run_by_attempt.clear()
        for entry_id in self.entry_by_id:
            # Messages that the agent sent before its end still arrive.
            while self.deliver_to_entry(entry_id, endpoint.endpoint_id):
                pass
            self.cut_connection(entry_id, endpoint.endpoint_id)

    def restart_endpoint(self, endpoint):
        """Restart the agent and engine of an endpoint that has ended."""
        if not endpoint.is_up:
            endpoint.is_up = True
            endpoint.is_draining = endpoint.is_frozen = False
            endpoint.incarnation += 1

    # Claim table.

    def answer_claims(self, entry, mode):
        """Handle the oldest claim write of an entry.

        ``mode`` is ``answer`` to apply and answer it, ``lose`` to apply it and lose the
        answer, or ``delay`` to leave it for ``apply_delayed``. Any other value discards
        the write. The entry observes an unanswered write in all modes but ``answer``.
        """
        batch = entry.unanswered_writes.pop(0)
        if mode in ("answer", "lose"):
            results = tuple(self.table.apply(write) for write in batch.writes)
        if mode == "delay":
            entry.delayed_batches.append(batch.writes)
        if mode == "answer":
            self.handle_event(entry, ClaimsAnswered(batch.batch_id, results))
        else:
            self.handle_event(entry, ClaimsUnanswered(batch.batch_id))

    def apply_delayed(self, entry):
        """Apply the oldest delayed writes whose rows are still absent.

        The absence of the row is the condition of a claim.
        """
        for write in entry.delayed_batches.pop(0):
            if not self.table.has_row(write):
                self.table.apply(write)

    # Invariants.

    def check_invariants(self):
        """Check the invariants that hold after every event.

        Relayed bytes are a prefix of the right answer. A request that is not
        idempotent, and an idempotency key, run at most once. The outcome ``not_run``
        is only reported for requests that did not run.
        """
        for entry in self.entry_by_id.values():
            for request_id, spec in entry.spec_by_id.items():
                sent = entry.text_by_request[request_id]
                assert expected_answer(spec.fingerprint).startswith(sent), (
                    "wrong bytes relayed"
                )
                if not spec.is_idempotent:
                    assert self.n_runs_by_request[request_id] <= 1, "request ran twice"
        assert all(n == 1 for n in self.n_runs_by_key.values()), "key ran twice"
        for request_id, finals in self.finals_by_request.items():
            for final in finals:
                is_reject = isinstance(final, Reject)
                if is_reject and final.rejection.outcome is Outcome.NOT_RUN:
                    assert self.n_runs_by_request[request_id] == 0, (
                        "reported as not run"
                    )

    def check_claim_row(self, row):
        """Check that a claim row agrees with the final answer of its request.

        Rows of entries that were replaced are not checked.
        """
        owners = [
            e for e in self.entry_by_id.values() if row.request_id in e.spec_by_id
        ]
        if not owners:
            return
        final = self.finals_by_request[row.request_id][0]
        if isinstance(final, Complete):
            assert row.state is ClaimState.DONE, "outcome not recorded"
        elif final.rejection.outcome is Outcome.NOT_RUN:
            assert row.state is ClaimState.ABANDONED, "key not freed"

    def exchange_digests(self):
        """Deliver the digest of each entry to all other entries."""
        for entry in self.entry_by_id.values():
            blocked, suspects = entry.state.digest(self.now_ms)
            event = DigestReceived(entry.entry_id, 1, blocked, suspects)
            for other in self.entry_by_id.values():
                if other is not entry:
                    self.handle_event(other, event)

    def deliver_all(self):
        """Deliver all messages in flight; return whether there were any."""
        is_busy = False
        for key in self.links:
            self.report_loss(*key)
            while self.deliver_to_entry(*key):
                is_busy = True
            while self.deliver_to_endpoint(*key):
                is_busy = True
        return is_busy

    def producing_runs(self):
        """Return the unfinished runs of endpoints that are not frozen."""
        endpoints = self.endpoint_by_id.values()
        return [r for e in endpoints if not e.is_frozen for r in e.unfinished_runs()]

    def run_until_idle(self):
        """Restart and reconnect endpoints and run until nothing is left to do.

        That is, until no message, active run, claim write or timer is left.
        """
        for i in range(10_000):
            for endpoint in self.endpoint_by_id.values():
                self.restart_endpoint(endpoint)
                for run in endpoint.unfinished_runs():
                    if run.attempt_id in endpoint.run_by_attempt:
                        self.advance_run(endpoint, run)
            self.connect_all()
            is_busy = self.deliver_all()
            if i % 20 == 0:
                self.exchange_digests()
            for entry in self.entry_by_id.values():
                while entry.unanswered_writes:
                    self.answer_claims(entry, "answer")
                    is_busy = True
                while self.fire_timer(entry):
                    is_busy = True
            if is_busy or any(self.producing_runs()):
                continue
            due = [t[0] for e in self.entry_by_id.values() for t in e.timers]
            if not due:
                return
            self.now_ms = max(self.now_ms, min(due))
        raise AssertionError("the simulation did not become idle")

    def check_idle(self):
        """Check that every request has one final answer and that no state is left."""
        for request_id, finals in self.finals_by_request.items():
            assert len(finals) == 1, f"{request_id} has no final answer"
        for row in self.table.row_by_key.values():
            self.check_claim_row(row)
        for entry in self.entry_by_id.values():
            state = entry.state
            assert state.is_idle, "entry is not idle"
            assert not state.attempt_by_id
            assert not state.isolate_at_ms
            assert not state.poison._n_running
            for view in state.endpoints.view_by_id.values():
                assert view.n_own_in_flight == 0
                assert view.n_own_queued_tokens == 0
                assert not view.is_isolating
