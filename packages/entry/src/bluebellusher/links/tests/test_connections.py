"""Guards against forged, mixed up and late messages and unresponsive connections."""

import asyncio
import zlib
from random import Random

import pytest

from bluebellusher.links import (
    AgentLinks,
    AnswerStream,
    AttemptRelay,
    FrameConnection,
    Identity,
    LinkTicker,
)
from bluebellusher_core.clock import ManualClock
from bluebellusher_core.errors import Reason
from bluebellusher_core.events import (
    AttemptAccepted,
    AttemptBroken,
    AttemptFinished,
    AttemptStarted,
    EndpointConnected,
    EndpointLost,
)
from bluebellusher_core.wire import messages

SECRET = b"s3cr3t-of-this-test"
ENTRY = Identity("entry-1", 1, "a", SECRET)
AGENT = Identity("engine-1", 7, "a", SECRET, messages.Role.AGENT, ("desk",))
HEADERS = {"content-type": "text/event-stream"}


class RecordingSink:
    """Event sink that collects events and lets a test wait for them."""

    def __init__(self) -> None:
        self.events = []
        self._event_posted = asyncio.Event()

    def post(self, event) -> None:
        """Collect an event."""
        self.events.append(event)
        self._event_posted.set()

    def log(self, name, **fields) -> None:
        """Ignore a log line."""

    async def wait_for(self, kind, n_events=1):
        """Wait for the ``n_events``-th event of a kind and return it."""
        async with asyncio.timeout(20):
            while True:
                matching_events = [
                    event for event in self.events if isinstance(event, kind)
                ]
                if len(matching_events) >= n_events:
                    return matching_events[n_events - 1]
                self._event_posted.clear()
                await self._event_posted.wait()


class FakeAgent:
    """Accepting side of the connections, driven by the test."""

    def __init__(self, identity: Identity = AGENT) -> None:
        self.identity = identity
        self.connections: list[FrameConnection] = []
        self.received: list[object] = []

    def on_open(self, connection) -> None:
        """Record the connection."""
        self.connections.append(connection)

    def on_message(self, connection, message) -> None:
        """Record the message."""
        self.received.append(message)

    def on_closed(self, connection, error) -> None:
        """Ignore the end of a connection."""

    async def listen(self) -> int:
        """Start to accept connections; return the port."""
        role, clock = messages.Role.ENTRY, ManualClock()
        self.server = await asyncio.get_running_loop().create_server(
            lambda: FrameConnection(self.identity, role, True, self, clock, "entry"),
            "127.0.0.1",
        )
        return self.server.sockets[0].getsockname()[1]

    def send(self, message) -> None:
        """Send a message on the newest connection."""
        self.connections[-1].send(message)


def run_scenario(scenario, identity: Identity = AGENT, clock=None) -> None:
    """Connect an entry to a fake agent and run a scenario of a test."""

    async def connect_and_run() -> None:
        sink, agent, shared_clock = (
            RecordingSink(),
            FakeAgent(identity),
            clock or ManualClock(),
        )
        ticker = LinkTicker(shared_clock, asyncio.get_running_loop())
        links = AgentLinks(ENTRY, sink, ticker, shared_clock, Random(1))
        links.dial([("127.0.0.1", await agent.listen())])
        try:
            await scenario(agent, links, sink, ticker)
        finally:
            await links.close()
            agent.server.close()

    asyncio.run(connect_and_run())


async def dispatch(links, sink, attempt_id="a1", answer=None) -> AnswerStream:
    """Send an attempt to the fake agent; return the answer that it writes."""
    await sink.wait_for(EndpointConnected)
    relay = AttemptRelay(attempt_id, "r1", "f", answer or AnswerStream())
    message = messages.Dispatch(attempt_id=attempt_id, request_id="r1")
    links.link_by_endpoint_id["engine-1"].dispatch(relay, message)
    return relay.answer


def make_started(attempt_id: str):
    """Create the message with the head of an answer."""
    return messages.Started(attempt_id=attempt_id, status=200, headers=HEADERS)


def make_chunk_batch(attempt_id: str, offset: int, data: bytes):
    """Create the message with one part of an answer."""
    part = messages.Chunk(attempt_id=attempt_id, offset=offset, data=data)
    return messages.ChunkBatch(chunks=[part])


def make_finish(attempt_id: str, data: bytes):
    """Create the final message of an answer that consists of ``data``."""
    return messages.Finish(
        attempt_id=attempt_id,
        status=200,
        headers=HEADERS,
        n_bytes=len(data),
        crc32=zlib.crc32(data),
    )


def test_chunk_of_unknown_attempt_closes_the_connection():
    """Guards against bytes of another caller's answer (I2)."""

    async def scenario(agent, links, sink, ticker):
        answer = await dispatch(links, sink)
        agent.send(make_started("a1"))
        agent.send(make_chunk_batch("a1", 0, b"data: own\n\n"))
        agent.send(make_chunk_batch("other", 0, b"data: foreign\n\n"))
        agent.send(make_finish("a1", b"data: own\n\n"))
        broken = await sink.wait_for(AttemptBroken)
        await sink.wait_for(EndpointLost)
        assert (broken.attempt_id, broken.n_bytes_relayed) == ("a1", 0)
        assert not any(isinstance(e, AttemptFinished) for e in sink.events)
        assert b"foreign" not in b"".join(answer._unread_parts)

    run_scenario(scenario)


def test_accepted_message_is_posted_as_event():
    """Guards against an isolated run of a suspect that is recorded as never started.

    The entry has to post the agent's ``Accepted`` message as an event.
    """

    async def scenario(agent, links, sink, ticker):
        await dispatch(links, sink)
        agent.send(messages.Accepted("a1"))
        event = await sink.wait_for(AttemptAccepted)
        assert (event.attempt_id, event.endpoint_id) == ("a1", "engine-1")

    run_scenario(scenario)


def test_late_bytes_of_a_cancelled_attempt_are_ignored():
    """Guards against late bytes of a cancelled attempt.

    They must neither enter the answer of the next attempt nor close the connection.
    """

    async def scenario(agent, links, sink, ticker):
        answer = await dispatch(links, sink)
        links.link_by_endpoint_id["engine-1"].cancel("a1")
        await dispatch(links, sink, "a2", answer)
        for message in (
            make_started("a1"),
            make_chunk_batch("a1", 0, b"late"),
            make_finish("a1", b"late"),
            make_started("a2"),
            make_chunk_batch("a2", 0, b"data: new\n\n"),
            make_finish("a2", b"data: new\n\n"),
        ):
            agent.send(message)
        finished = await sink.wait_for(AttemptFinished)
        assert (finished.attempt_id, finished.endpoint_id) == ("a2", "engine-1")
        answer.complete()
        assert await answer.read() == b"data: new\n\n"
        assert not any(isinstance(e, EndpointLost) for e in sink.events)

    run_scenario(scenario)


def test_unresponsive_connection_is_closed_and_reopened():
    """Guards against a connection that stays open after its receive timeout."""
    clock = ManualClock()

    async def scenario(agent, links, sink, ticker):
        await dispatch(links, sink)
        connection = links.link_by_endpoint_id["engine-1"].connection
        clock.advance(2_001)
        # The entry itself was suspended, so messages of the agent may be unread.
        connection.tick(clock.now_ms(), was_suspended=True)
        agent.send(make_started("a1"))
        await sink.wait_for(AttemptStarted)
        clock.advance(2_001)
        connection.tick(clock.now_ms(), was_suspended=False)
        await sink.wait_for(EndpointLost)
        await sink.wait_for(EndpointConnected, 2)

    run_scenario(scenario, clock=clock)


def test_wrong_secret_wrong_role_and_own_id_fail_the_handshake():
    """Guards against connections to processes that are no agents of the deployment."""
    forged = Identity("engine-1", 7, "a", b"other-secret", messages.Role.AGENT)
    entry = Identity("entry-9", 7, "a", SECRET)
    mirror = Identity("entry-1", 7, "a", SECRET, messages.Role.AGENT)
    for identity in (forged, entry, mirror):

        async def scenario(agent, links, sink, ticker):
            logged = asyncio.Event()
            sink.log = lambda name, **fields: logged.set()
            async with asyncio.timeout(20):
                await logged.wait()
            assert not links.link_by_endpoint_id
            assert sink.events == []

        run_scenario(scenario, identity)


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_refusal_of_a_run_that_an_agent_reports_is_not_relayed(status):
    """Guards against a caller that repeats a request which has run.

    An agent reports a run that it has refused in a message of its own.
    """

    async def scenario(agent, links, sink, ticker):
        answer = await dispatch(links, sink)
        started = messages.Started(attempt_id="a1", status=status, headers=HEADERS)
        agent.send(started)
        broken = await sink.wait_for(AttemptBroken)
        assert broken.reason is Reason.UNCONFIRMED_REFUSAL
        assert (broken.n_bytes_relayed, broken.is_resumable) == (0, False)
        assert answer.status == 0
        # Late messages of the run change nothing.
        agent.send(make_chunk_batch("a1", 0, b"failed"))
        agent.send(make_finish("a1", b"failed"))
        await dispatch(links, sink, "a2")
        agent.send(make_started("a2"))
        await sink.wait_for(AttemptStarted)
        assert not any(isinstance(event, AttemptFinished) for event in sink.events)
        assert any(isinstance(message, messages.Cancel) for message in agent.received)

    run_scenario(scenario)
