"""Guards against frames that are lost, merged or accepted when malformed."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellusher_core.errors import StepError
from bluebellusher_core.wire import (
    FrameDecoder,
    compute_hello_mac,
    encode,
    messages,
    verify_hello,
)


@given(st.lists(st.binary(max_size=200), max_size=8), st.integers(1, 50))
def test_property_any_split_of_the_stream_gives_the_same_messages(parts, size):
    """Guards against lost or merged messages when TCP splits frames at any byte."""
    stream = b"".join(
        encode(
            messages.ChunkBatch(
                chunks=[messages.Chunk(attempt_id=str(i), offset=i, data=part)]
            )
        )
        for i, part in enumerate(parts)
    )
    decoder = FrameDecoder("peer")
    received = []
    for start in range(0, len(stream), size):
        received += decoder.feed(stream[start : start + size])
    assert [message.chunks[0].data for message in received] == parts


@given(st.binary(max_size=300))
def test_property_malformed_input_raises_step_error_only(data):
    """Guards against an unexpected exception type for malformed input of a peer."""
    frame = len(data).to_bytes(4, "big") + data
    try:
        FrameDecoder("peer").feed(frame)
    except StepError as error:
        assert error.peer == "peer"


def test_oversize_frame_raises_before_it_is_buffered():
    """Guards against a peer that exhausts memory with a huge frame length."""
    with pytest.raises(StepError, match="expected at most"):
        FrameDecoder("peer").feed(b"\xff\xff\xff\xff")


def _hello(nonce: bytes):
    return messages.Hello(
        protocol_version=1,
        instance_id="entry-1",
        incarnation=3,
        failure_domain="a",
        role=messages.Role.ENTRY,
        nonce=nonce,
        mac=b"",
    )


def test_hello_is_bound_to_the_challenge_and_the_secret():
    """Guards against a replayed or forged handshake."""
    hello = _hello(b"n" * 16)
    hello.mac = compute_hello_mac(b"secret", b"challenge", hello)
    assert verify_hello(b"secret", b"challenge", hello)
    assert not verify_hello(b"secret", b"other", hello)
    assert not verify_hello(b"other", b"challenge", hello)
    hello.instance_id = "entry-2"
    assert not verify_hello(b"secret", b"challenge", hello)
