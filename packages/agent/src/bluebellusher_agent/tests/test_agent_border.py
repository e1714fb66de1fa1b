"""Guards against malicious input that stops the agent or reaches the target."""

import asyncio
import os

import pytest

from bluebellusher_agent import AgentSettings
from bluebellusher_agent._log import LogWriter
from bluebellusher_agent._settings import strip_comments
from bluebellusher_agent.tests.entry_client import (
    SECRET,
    EntryClient,
    make_body,
    with_engine,
)
from bluebellusher_core.errors import StepError
from bluebellusher_core.wire import encode, messages

HOSTILE_FRAMES = {
    "oversize": b"\xff\xff\xff\xff",
    "garbage": b"\x00\x00\x00\x05abcde",
    "empty": b"\x00\x00\x00\x00",
    "http": b"GET / HTTP/1.1\r\n\r\n",
    "huge list": b"\x00\x00\x00\x10\x0c\x00\x01\x0f\x00\x08\x0b\x7f\xff\xff\xff"
    + b"\0" * 5,
    "unauthenticated dispatch": encode(messages.Dispatch(attempt_id="a1")),
    "wrong mac": encode(
        messages.Hello(1, "entry-1", 1, "a", messages.Role.ENTRY, b"n" * 16, b"m" * 32)
    ),
    "wrong role": encode(
        messages.Hello(1, "entry-1", 1, "a", messages.Role.AGENT, b"n" * 16, b"m" * 32)
    ),
    "null fields": encode(messages.Hello()),
}


@pytest.mark.parametrize("name", HOSTILE_FRAMES)
def test_bad_first_frame_closes_only_its_connection(name):
    """Guards against an unauthenticated peer that disturbs other connections."""

    async def scenario(entry, agent, engine):
        reader, writer = await asyncio.open_connection("127.0.0.1", agent.port)
        writer.write(HOSTILE_FRAMES[name])
        await _read_to_end(reader)
        writer.close()
        entry.dispatch("a1", make_body())
        await entry.finish("a1")

    with_engine(scenario)


async def _read_to_end(reader):
    try:
        async with asyncio.timeout(20):
            await reader.read()
    except ConnectionError:
        return


def test_connection_without_handshake_is_closed():
    """Guards against unauthenticated connections that exhaust the file descriptors."""

    async def scenario(entry, agent, engine):
        reader, writer = await asyncio.open_connection("127.0.0.1", agent.port)
        await _read_to_end(reader)
        writer.close()
        assert not entry.is_closed

    with_engine(scenario)


def test_wrong_secret_is_refused():
    """Guards against an agent that accepts work from an entry of another system."""

    async def scenario(entry, agent, engine):
        with pytest.raises(AssertionError, match="closed"):
            await EntryClient(agent.port, secret="another secret").__aenter__()

    with_engine(scenario)


@pytest.mark.parametrize(
    "changes",
    [
        {"path": "/orders"},
        {"path": "/v1/x HTTP/1.1\r\nx: y"},
        {"method": "DELETE"},
        {"headers": {"x": "a\r\ny: b"}},
        {"headers": {"x\r\n": "a"}},
        {"traceparent": "a\r\nb: c"},
        {"priority": 7},
        {"priority": None},
        {"resume_offset": -1},
        {"remaining_ms": None},
    ],
)
def test_malformed_dispatch_is_refused_as_not_run(changes):
    """Guards against header injection and against dispatches to control paths.

    A dispatch to another method or path of an engine could order or cancel work.
    """

    async def scenario(entry, agent, engine):
        entry.dispatch("a1", make_body(), **changes)
        assert (await entry.next(messages.Refuse, "a1")).reason == "bad_request"
        assert engine.received_bodies == []

    with_engine(scenario)


@pytest.mark.parametrize(
    "message",
    [
        messages.Dispatch(),
        messages.Dispatch(attempt_id="a/../b", request_id="r"),
        messages.Credit(),
        messages.Credit("a1", -5),
        messages.Cancel(),
        messages.Order(),
        messages.Finish("a1"),
    ],
)
def test_hostile_message_does_not_affect_other_entries(message):
    """Guards against a faulty entry whose message stops the agent for other entries."""

    async def scenario(entry, agent, engine):
        async with EntryClient(agent.port, "entry-2") as other:
            other.send(message)
            entry.dispatch("a1", make_body())
            await entry.finish("a1")

    with_engine(scenario)


def test_malformed_repeat_of_a_running_attempt_is_not_refused():
    """Guards against a refusal that reports work in progress as not run (I3).

    The repeated dispatch is malformed and would be refused if its attempt were new.
    """

    async def scenario(entry, agent, engine):
        async with EntryClient(agent.port, "entry-2") as other:
            other.dispatch("a1", make_body(n_tokens=500))
            await other.next(messages.Started, "a1")
            other.dispatch("a1", make_body(), resume_offset=None)
            await other.wait(lambda: other.is_closed)
            assert other.find(messages.Refuse) is None

    with_engine(scenario)


def test_log_does_not_block_on_a_full_pipe():
    """Guards against an agent that blocks when its log pipe is full."""
    reader, writer = os.pipe()
    log_writer = LogWriter(writer)
    for _ in range(100):
        log_writer.write("x" * 3_999)
    received = os.read(reader, 1 << 20)
    assert 0 < received.count(b"\n") < 100
    log_writer.write("after")
    assert b"after n_lines_dropped=" in os.read(reader, 1 << 20)
    os.close(reader)
    os.close(writer)


def test_settings_errors_name_file_key_value_and_expected_value():
    """Guards against invalid settings that pass or fail without a reason."""
    text = '{"instance_id": "e 1", "n_slots": 0, "colour": 1, "shared_secret": "abc"}'
    with pytest.raises(StepError) as caught:
        AgentSettings.from_text(text, "agent.json")
    message = str(caught.value)
    assert "peer=agent.json" in message
    assert "instance_id='e 1': expected 1 to 128 printable" in message
    assert "n_slots=0: expected 1 to 100000" in message
    assert "colour: unknown key" in message
    assert "listen: missing" in message
    assert "abc" not in message


def test_comments_are_stripped_outside_strings_only():
    """Guards against strings, such as a secret, that are cut at ``//`` or ``/*``."""
    text = '{"a": "x // y /* z */ \\" //", // note\n "b": [1, /* two */ ], }'
    assert strip_comments(text).count("\n") == 1
    stripped = strip_comments(text)
    assert '"x // y /* z */ \\" //"' in stripped
    assert "note" not in stripped
    address = '{"host": "127.0.0.1", "port": 0}'
    settings = AgentSettings.from_text(
        f'{{"instance_id": "e", "failure_domain": "a", /* c */ "listen": {address},'
        f'"target": {address}, "shared_secret": "{SECRET}", "models": ["m",],}}',
        "agent.json",
    )
    assert settings.models == ("m",)
    assert SECRET not in repr(settings)
