"""Guards against bytes that are lost, repeated or sent too early by a run."""

import asyncio
import random
import zlib

from hypothesis import given
from hypothesis import strategies as st

from bluebellusher_agent._run import Run
from bluebellusher_core.wire import messages

RETAINED_BYTES = 500


class FakeRelay:
    """Receiving side of a connection that records and checks the relayed answer."""

    peer_id = "entry-1"
    is_writable = True

    def __init__(self, offset):
        self.offset = offset
        self.data = bytearray()
        self.n_started = 0
        self.finish = None

    def queue_started(self, message):
        """Count the messages."""
        self.n_started += 1

    def queue_chunk(self, attempt_id, offset, data):
        """Check that the offset follows the received bytes, as an entry does."""
        assert self.n_started == 1
        assert offset == self.offset + len(self.data)
        self.data += data

    def queue_finish(self, message):
        """Record the message, which must be the only one."""
        assert self.finish is None
        self.finish = message


def make_run():
    """Return a run for a test dispatch."""
    dispatch = messages.Dispatch(
        attempt_id="a1", request_id="r1", method="POST", path="/", remaining_ms=1000
    )
    return Run(dispatch, "entry-1", 0, RETAINED_BYTES)


STEP = st.tuples(
    st.sampled_from(("data", "credit", "lose", "resume")), st.integers(1, 300)
)


@given(st.lists(STEP, max_size=40), st.integers(0, 2**32))
def test_property_resumed_answers_are_complete_and_within_their_credit(steps, seed):
    """Guards against a resumed answer with a gap or a repeated part."""
    asyncio.run(run_steps(steps, random.Random(seed)))


async def run_steps(steps, random_state):
    """Apply the steps and compare the bytes that the entry received."""
    run, sent, received = make_run(), bytearray(), bytearray()
    relay, credit = FakeRelay(0), 100
    run.attach(relay, "a1", 0, credit)
    run.set_head(200, {})
    for kind, number in steps:
        if kind == "data":
            data = random_state.randbytes(number)
            sent += data
            run.append(data)
        elif kind == "credit" and relay is not None:
            credit += number
            run.add_credit(number)
        elif kind == "lose" and relay is not None:
            # The agent retains RETAINED_BYTES, so that no more may be lost in transit.
            n_lost = min(number, RETAINED_BYTES, len(relay.data))
            received += relay.data[: len(relay.data) - n_lost]
            relay = None
            run.detach()
        elif kind == "resume" and relay is None:
            relay, credit = FakeRelay(len(received)), number
            assert run.buffer.contains(relay.offset)
            run.attach(relay, "a2", relay.offset, credit)
        if relay is not None:
            assert len(relay.data) <= credit
    if relay is None:
        relay = FakeRelay(len(received))
        run.attach(relay, "a3", relay.offset, 0)
    run.complete((1, 0, 1))
    run.add_credit(1 << 20)
    assert received + relay.data == sent
    assert relay.finish.n_bytes == len(sent)
    assert relay.finish.crc32 == zlib.crc32(sent)
