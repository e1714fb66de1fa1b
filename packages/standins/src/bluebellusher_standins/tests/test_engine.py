"""Behaviour of the engine stand-in, which must be as strict as that of real engines."""

import asyncio
import json
from itertools import pairwise

import aiohttp
import pytest

from bluebellusher_standins.engine import (
    EngineServer,
    EngineSettings,
    compute_expected_answer,
)


def make_body(text="hello", n_tokens=4, is_stream=True):
    """Return the body of a chat completion request."""
    messages = [{"role": "user", "content": text}]
    body = {"model": "m", "stream": is_stream, "max_tokens": n_tokens}
    return json.dumps({**body, "messages": messages}).encode()


def run_scenario(scenario, **settings):
    """Run ``scenario(engine, post)``; ``post`` sends a chat completion request."""

    async def main():
        async with (
            EngineServer(EngineSettings(token_interval_ms=2.0, **settings)) as engine,
            aiohttp.ClientSession(engine.base_url) as session,
        ):

            async def post(body, attempt_id, **headers):
                headers = {"X-Attempt-Id": attempt_id, **headers}
                path = "/v1/chat/completions"
                async with session.post(path, data=body, headers=headers) as answer:
                    return answer.status, answer.headers, await answer.read()

            engine.session = session
            await scenario(engine, post)

    asyncio.run(main())


def test_answer_depends_on_the_body_only():
    """Guards against equal answers, with which tests would miss mixed-up answers."""

    async def scenario(engine, post):
        for is_stream in (True, False):
            body = make_body("one", is_stream=is_stream)
            first = await post(body, f"a{is_stream}")
            second = await post(body, f"b{is_stream}")
            assert first[2] == second[2] == compute_expected_answer(body)
            assert first[2] != compute_expected_answer(
                make_body("two", is_stream=is_stream)
            )

    run_scenario(scenario)


def test_batch_is_bounded_and_higher_priorities_run_first():
    """Guards against a stand-in with unlimited capacity or without priorities."""

    async def scenario(engine, post):
        finished_attempts = []

        async def submit(attempt_id, priority):
            body = make_body(attempt_id, 20)
            await post(body, attempt_id, **{"X-Priority": priority})
            finished_attempts.append(attempt_id)

        running = asyncio.create_task(submit("first", "low"))
        await engine.batcher.wait_for_counts(1, 0)
        queued = [asyncio.create_task(submit(p, p)) for p in ("low", "normal", "high")]
        await engine.batcher.wait_for_counts(1, 3)
        await asyncio.gather(running, *queued)
        assert finished_attempts == ["first", "high", "normal", "low"]

    run_scenario(scenario, n_slots=1)


def test_cache_memory_is_limited_and_events_have_gaps():
    """Guards against a cache that never evicts a block, and events without gaps."""

    async def scenario(engine, post):
        prompts = [make_body(f"{i}" * 250) for i in (1, 2, 3)]
        cached_token_counts = []
        for index, body in enumerate([prompts[0], *prompts, prompts[0]]):
            _, headers, _ = await post(body, f"a{index}")
            cached_token_counts.append(int(headers["X-Cached-Tokens"]))
        assert cached_token_counts == [0, 64, 0, 0, 0]
        assert len(engine.cache) == 8
        async with engine.session.get("/cache-events?after=0") as answer:
            events = (await answer.json())["events"]
        sequences = [event["sequence"] for event in events]
        assert any(b - a > 1 for a, b in pairwise(sequences))

    run_scenario(scenario, n_cache_blocks=8, cache_event_lag_ms=0, cache_gap_every=2)


def test_stream_resumes_at_its_offset_until_it_is_released():
    """Guards against resumed streams that restart, and streams held after a cancel."""

    async def scenario(engine, post):
        body = make_body(n_tokens=30)
        engine.set_faults(break_streams=1)
        with pytest.raises(aiohttp.ClientError):
            await post(body, "a1")
        _, _, remaining_bytes = await post(b"", "a1", **{"X-Resume-Offset": "100"})
        assert remaining_bytes == compute_expected_answer(body)[100:]
        status, _, _ = await post(b"", "unknown", **{"X-Resume-Offset": "1"})
        assert status == 410
        assert (await post(body, "a1"))[0] == 409
        async with engine.session.delete("/attempts/a1") as answer:
            assert answer.status == 200
        assert (await post(b"", "a1", **{"X-Resume-Offset": "1"}))[0] == 410

    run_scenario(scenario)


def test_crash_drops_all_connections_and_the_cache():
    """Guards against a crash after which the streams of other requests continue."""

    async def scenario(engine, post):
        innocent = asyncio.create_task(post(make_body("x" * 500, 500), "a1"))
        await engine.batcher.wait_for_counts(1, 0)
        results = await asyncio.gather(
            innocent, post(make_body("CRASH"), "a2"), return_exceptions=True
        )
        assert all(isinstance(item, aiohttp.ClientError) for item in results)
        boot_id = engine.boot_id
        async with engine.session.get("/healthz") as answer:
            assert (await answer.json())["boot_id"] == boot_id
        assert (engine.n_crashes, len(engine.cache)) == (1, 0)

    run_scenario(scenario, crash_marker="CRASH", restart_ms=0)


@pytest.mark.parametrize(("is_checked", "status"), [(True, 409), (False, 200)])
def test_old_fencing_token_is_refused_only_if_it_is_checked(is_checked, status):
    """Guards against an engine stand-in that always or never checks fencing tokens."""

    async def scenario(engine, post):
        for order_id, token, expected in (("o1", 5, 200), ("o2", 4, status)):
            order = {"order_id": order_id, "lease_name": "l", "action": "load_model"}
            order |= {"fencing_token": token, "arguments": {"name": order_id}}
            async with engine.session.post("/orders", json=order) as answer:
                assert answer.status == expected
        assert ("o2" in engine.models) == (not is_checked)

    run_scenario(scenario, checks_fencing_token=is_checked)


@pytest.mark.parametrize("body", [b"", b"[]", b"{", b'{"messages": [1]}', b"\xff"])
def test_malformed_body_is_answered_with_400(body):
    """Guards against an exception in the handler of a malformed request body."""

    async def scenario(engine, post):
        assert (await post(body, "a1"))[0] == 400

    run_scenario(scenario)
