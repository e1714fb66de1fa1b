"""Guards against interrupted answers and new work during a drain."""

import asyncio
import json
import os
import signal
import sys

import uvloop

from bluebellusher_agent.main import watch_settings
from bluebellusher_agent.tests.entry_client import (
    SECRET,
    EntryClient,
    make_body,
    with_engine,
)
from bluebellusher_core.wire import messages
from bluebellusher_standins.engine import (
    EngineServer,
    EngineSettings,
    compute_expected_answer,
)


def test_drain_refuses_new_attempts_and_finishes_running_ones():
    """Guards against interrupted answers and new work during a drain (I5, I6)."""

    async def scenario(entry, agent, engine):
        body = make_body(n_tokens=60)
        entry.dispatch("a1", body)
        await entry.next(messages.Started, "a1")
        engine.set_faults(is_draining=True)
        assert (await entry.next(messages.Drain)).endpoint_id == "endpoint-1"
        entry.dispatch("a2", make_body())
        refusal = await entry.next(messages.Refuse, "a2")
        assert refusal.reason == "endpoint_draining"
        assert await entry.finish("a1") == compute_expected_answer(body)
        async with EntryClient(agent.port) as late_entry:
            assert late_entry.hello.is_draining

    with_engine(scenario, settings={"token_interval_ms": 20.0})


def test_sigterm_drains_and_ends_the_process(tmp_path):
    """Guards against a process that exits before its answers are complete."""

    async def main():
        engine_settings = EngineSettings(token_interval_ms=10.0)
        async with EngineServer(engine_settings) as engine:
            path = tmp_path / "agent.json"
            path.write_text(_settings_text(engine.port))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "bluebellusher_agent.main",
                "--config",
                str(path),
                env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
                stdout=asyncio.subprocess.PIPE,
            )
            port = await _read_port(process)
            log_output = asyncio.create_task(process.stdout.read())
            async with EntryClient(port) as entry:
                body = make_body(n_tokens=50)
                entry.dispatch("a1", body)
                await entry.next(messages.Started, "a1")
                process.send_signal(signal.SIGTERM)
                await entry.next(messages.Drain)
                assert await entry.finish("a1") == compute_expected_answer(body)
                await entry.wait(lambda: entry.is_closed)
            assert SECRET.encode() not in await log_output
            assert await process.wait() == 0

    uvloop.run(main())


def test_settings_file_starts_a_drain(tmp_path):
    """Guards against an agent that ignores ``is_draining`` until it is restarted.

    A malformed settings file in between must not stop the polling.
    """

    async def scenario(entry, agent, engine):
        path = tmp_path / "agent.json"
        path.write_text(_settings_text(engine.port))
        watcher = asyncio.create_task(watch_settings(str(path), agent))
        await entry.next(messages.Heartbeat)
        path.write_text("{ malformed")
        for _ in range(3):
            await entry.next(messages.Heartbeat)
        text = _settings_text(engine.port).replace("{", '{"is_draining": true, ', 1)
        path.write_text(text)
        await entry.next(messages.Drain)
        await watcher

    with_engine(scenario)


def _settings_text(port):
    settings = {
        "instance_id": "endpoint-1",
        "failure_domain": "a",
        "shared_secret": SECRET,
        "listen": {"host": "127.0.0.1", "port": 0},
        "target": {"host": "127.0.0.1", "port": port},
    }
    return "// settings of a test\n" + json.dumps(settings)


async def _read_port(process):
    while line := await process.stdout.readline():
        if b"event=listening" in line:
            return int(line.split(b"port=")[1])
    raise AssertionError("the agent did not start")
