"""Guards against answers that appear complete but are cut, mixed up or repeated."""

import asyncio
import zlib

from hypothesis import given
from hypothesis import strategies as st

from bluebellusher.links import AnswerStream, AttemptRelay
from bluebellusher_core.errors import Outcome, Reason, Rejection
from bluebellusher_core.wire import messages

EVENTS = {"content-type": "text/event-stream"}
REJECTION = Rejection(Outcome.UNKNOWN, Reason.STREAM_CORRUPT, "relay")


def read_all(answer: AnswerStream) -> bytes:
    """Read all bytes that the caller can receive so far."""

    async def read_available() -> bytes:
        data = b""
        while answer._is_readable() and (part := await answer.read()):
            data += part
        return data

    return asyncio.run(read_available())


def make_relay(attempt_id="a1", answer=None) -> AttemptRelay:
    """Create the relay of one attempt."""
    return AttemptRelay(attempt_id, "r1", "f", answer or AnswerStream())


def make_started(status=200, headers=None):
    """Create the message with the head of an answer."""
    headers = EVENTS if headers is None else headers
    return messages.Started(attempt_id="a1", status=status, headers=headers)


def make_chunk(offset: int, data: bytes):
    """Create the message with one part of an answer."""
    return messages.Chunk(attempt_id="a1", offset=offset, data=data)


def make_finish(data: bytes):
    """Create the final message of an answer that consists of ``data``."""
    crc = zlib.crc32(data)
    return messages.Finish(
        attempt_id="a1", status=200, headers=EVENTS, n_bytes=len(data), crc32=crc
    )


answer_bodies = st.lists(
    st.sampled_from([b"data: x\n\n", b"data: [DONE]\n\n", b"da", b"\n", b"[DONE]"]),
    min_size=1,
    max_size=8,
).map(b"".join)


@given(answer_bodies, st.integers(1, 20))
def test_property_done_mark_is_held_until_the_final_check(body, size):
    """Guards against a ``[DONE]`` that is sent before the whole answer is checked."""
    relay = make_relay()
    relay.start(make_started())
    received = b""
    for offset in range(0, len(body), size):
        assert relay.accept(make_chunk(offset, body[offset : offset + size])) == ""
        received += read_all(relay.answer)
        assert not any(
            line.startswith(b"data: [DONE]") for line in received.split(b"\n")
        )
        assert body.startswith(received)
    assert relay.finish(make_finish(body)) == ""
    relay.answer.complete()
    assert received + read_all(relay.answer) == body


@given(
    st.lists(st.binary(min_size=1, max_size=9), min_size=1, max_size=6),
    st.sampled_from(["drop", "repeat", "swap", "flip", "truncate"]),
    st.data(),
)
def test_property_damaged_stream_never_passes_the_checks(parts, fault, data):
    """Guards against lost, repeated, reordered or changed bytes (I2)."""
    body = b"".join(parts)
    offsets = [sum(map(len, parts[:i])) for i in range(len(parts))]
    chunks = [
        make_chunk(offset, part) for offset, part in zip(offsets, parts, strict=True)
    ]
    index = data.draw(st.integers(0, len(chunks) - 1))
    if fault == "drop":
        del chunks[index]
    elif fault == "repeat":
        chunks.insert(index, chunks[index])
    elif fault == "swap":
        chunks[index:] = reversed(chunks[index:])
    elif fault == "flip":
        changed_part = bytes([parts[index][0] ^ 1]) + parts[index][1:]
        chunks[index] = make_chunk(offsets[index], changed_part)
    else:
        chunks = chunks[:index]
    is_changed = [(c.offset, c.data) for c in chunks] != [
        (offset, part) for offset, part in zip(offsets, parts, strict=True)
    ]
    relay = make_relay()
    relay.start(make_started())
    problems = [relay.accept(c) for c in chunks]
    is_accepted = not any(problems) and relay.finish(make_finish(body)) == ""
    assert is_accepted is not is_changed


@given(st.binary(min_size=2, max_size=60), st.data())
def test_property_resume_continues_only_at_the_relayed_offset(body, data):
    """Guards against repeated or missing bytes when a stream is resumed."""
    cut_offset = data.draw(st.integers(1, len(body) - 1))
    resume_offset = data.draw(st.integers(0, len(body)))
    first = make_relay()
    first.start(make_started())
    first.accept(make_chunk(0, body[:cut_offset]))
    received = read_all(first.answer)
    n_relayed_bytes = first.release()
    second = make_relay("a2", first.answer)
    second.start(make_started())
    problem = second.accept(make_chunk(resume_offset, body[resume_offset:]))
    if resume_offset == n_relayed_bytes:
        assert problem == "" and second.finish(make_finish(body)) == ""
        second.answer.complete()
        assert received + read_all(second.answer) == body
    else:
        assert problem or not body[resume_offset:]


def test_losing_attempt_cannot_write_to_the_answer():
    """Guards against bytes of a hedge's losing attempt in the answer of the winner."""
    winner = make_relay()
    winner.start(make_started())
    loser = make_relay("a2", winner.answer)
    assert loser.start(make_started()) == ""
    loser.accept(make_chunk(0, b"data: 2\n\n"))
    winner.accept(make_chunk(0, b"data: 1\n\n"))
    assert read_all(winner.answer) == b"data: 1\n\n"
    assert loser.finish(make_finish(b"data: 2\n\n")) != ""


def test_no_bytes_follow_a_rejection():
    """Guards against late bytes of an attempt after its request was rejected."""
    relay = make_relay()
    relay.start(make_started())
    relay.accept(make_chunk(0, b"data: 1\n\n"))
    relay.answer.reject(REJECTION)
    relay.accept(make_chunk(9, b"data: 2\n\n"))
    relay.answer.complete()
    assert read_all(relay.answer) == b""
    assert not relay.answer.is_complete


def test_json_answer_is_held_until_it_is_complete():
    """Guards against a truncated JSON answer with status 200."""
    relay = make_relay()
    relay.start(make_started(headers={"content-type": "application/json"}))
    relay.accept(make_chunk(0, b'{"a":'))
    assert read_all(relay.answer) == b""
    assert relay.release() == 0
    assert not relay.answer.is_committed


def test_held_answer_is_released_when_its_relay_waits():
    """Guards against an answer that waits for its end while its relay waits for it.

    Many answers share the memory, so that each may have fewer bytes than are held.
    """

    async def main():
        answer = AnswerStream()
        answer.start(200, {"content-type": "text/plain"})
        answer.write(b"a" * 20_000)
        waiting = asyncio.create_task(answer.wait_for_capacity(16_384))
        async with asyncio.timeout(20):
            assert await answer.read() == b"a" * 20_000
            await waiting

    asyncio.run(main())
