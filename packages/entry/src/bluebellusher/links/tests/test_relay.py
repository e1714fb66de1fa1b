"""Guards against answers that appear complete but are cut, mixed up or repeated."""

import asyncio
import zlib

from hypothesis import given
from hypothesis import strategies as st

from bluebellusher.links import AnswerStream, AttemptRelay
from bluebellusher_core.errors import Outcome, Reason, Rejection
from bluebellusher_core.wire import messages

EVENTS = {"content-type": "text/event-stream"}
REFUSAL = Rejection(Outcome.UNKNOWN, Reason.STREAM_CORRUPT, "relay")


def take_all(answer: AnswerStream) -> bytes:
    """Read all bytes that the caller can receive so far."""

    async def take() -> bytes:
        data = b""
        while answer._is_takeable() and (part := await answer.take()):
            data += part
        return data

    return asyncio.run(take())


def make_relay(attempt_id="a1", answer=None) -> AttemptRelay:
    """Create the relay of one attempt."""
    return AttemptRelay(attempt_id, "r1", "f", answer or AnswerStream())


def started(status=200, headers=None):
    """Create the message with the head of an answer."""
    headers = EVENTS if headers is None else headers
    return messages.Started(attempt_id="a1", status=status, headers=headers)


def chunk(offset: int, data: bytes):
    """Create the message with one part of an answer."""
    return messages.Chunk(attempt_id="a1", offset=offset, data=data)


def finish(data: bytes):
    """Create the final message of an answer that consists of ``data``."""
    crc = zlib.crc32(data)
    return messages.Finish(
        attempt_id="a1", status=200, headers=EVENTS, n_bytes=len(data), crc32=crc
    )


texts = st.lists(
    st.sampled_from([b"data: x\n\n", b"data: [DONE]\n\n", b"da", b"\n", b"[DONE]"]),
    min_size=1,
    max_size=8,
).map(b"".join)


@given(texts, st.integers(1, 20))
def test_property_done_mark_waits_for_the_last_check(text, size):
    """Guards against a ``[DONE]`` that is sent before the whole answer is checked."""
    relay = make_relay()
    relay.start(started())
    shown = b""
    for at in range(0, len(text), size):
        assert relay.accept(chunk(at, text[at : at + size])) == ""
        shown += take_all(relay.answer)
        assert not any(line.startswith(b"data: [DONE]") for line in shown.split(b"\n"))
        assert text.startswith(shown)
    assert relay.finish(finish(text)) == ""
    relay.answer.complete()
    assert shown + take_all(relay.answer) == text


@given(
    st.lists(st.binary(min_size=1, max_size=9), min_size=1, max_size=6),
    st.sampled_from(["drop", "repeat", "swap", "flip", "truncate"]),
    st.data(),
)
def test_property_a_damaged_stream_is_never_whole(parts, fault, data):
    """Guards against lost, repeated, reordered or changed bytes (I2)."""
    text = b"".join(parts)
    offsets = [sum(map(len, parts[:i])) for i in range(len(parts))]
    chunks = [chunk(at, part) for at, part in zip(offsets, parts, strict=True)]
    index = data.draw(st.integers(0, len(chunks) - 1))
    if fault == "drop":
        del chunks[index]
    elif fault == "repeat":
        chunks.insert(index, chunks[index])
    elif fault == "swap":
        chunks[index:] = reversed(chunks[index:])
    elif fault == "flip":
        changed = bytes([parts[index][0] ^ 1]) + parts[index][1:]
        chunks[index] = chunk(offsets[index], changed)
    else:
        chunks = chunks[:index]
    is_changed = [(c.offset, c.data) for c in chunks] != [
        (at, part) for at, part in zip(offsets, parts, strict=True)
    ]
    relay = make_relay()
    relay.start(started())
    problems = [relay.accept(c) for c in chunks]
    is_whole = not any(problems) and relay.finish(finish(text)) == ""
    assert is_whole is not is_changed


@given(st.binary(min_size=2, max_size=60), st.data())
def test_property_resume_gives_the_same_bytes_or_nothing(text, data):
    """Guards against repeated or missing bytes when a stream is resumed."""
    cut = data.draw(st.integers(1, len(text) - 1))
    resumed_at = data.draw(st.integers(0, len(text)))
    first = make_relay()
    first.start(started())
    first.accept(chunk(0, text[:cut]))
    shown = take_all(first.answer)
    n_kept = first.release()
    second = make_relay("a2", first.answer)
    second.start(started())
    problem = second.accept(chunk(resumed_at, text[resumed_at:]))
    if resumed_at == n_kept:
        assert problem == "" and second.finish(finish(text)) == ""
        second.answer.complete()
        assert shown + take_all(second.answer) == text
    else:
        assert problem or not text[resumed_at:]


def test_another_attempt_cannot_write_into_an_answer():
    """Guards against bytes of a hedge's losing attempt in the answer of the winner."""
    winner = make_relay()
    winner.start(started())
    loser = make_relay("a2", winner.answer)
    assert loser.start(started()) == ""
    loser.accept(chunk(0, b"data: 2\n\n"))
    winner.accept(chunk(0, b"data: 1\n\n"))
    assert take_all(winner.answer) == b"data: 1\n\n"
    assert loser.finish(finish(b"data: 2\n\n")) != ""


def test_nothing_follows_a_refusal():
    """Guards against late bytes of an attempt after its request was rejected."""
    relay = make_relay()
    relay.start(started())
    relay.accept(chunk(0, b"data: 1\n\n"))
    relay.answer.refuse(REFUSAL)
    relay.accept(chunk(9, b"data: 2\n\n"))
    relay.answer.complete()
    assert take_all(relay.answer) == b""
    assert not relay.answer.is_complete


def test_an_answer_without_events_is_held_until_it_is_whole():
    """Guards against a truncated JSON answer with status 200."""
    relay = make_relay()
    relay.start(started(headers={"content-type": "application/json"}))
    relay.accept(chunk(0, b'{"a":'))
    assert take_all(relay.answer) == b""
    assert relay.release() == 0
    assert not relay.answer.is_committed
