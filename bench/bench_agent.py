"""Memory and processor time of the agent, when idle and per relayed token event."""

import asyncio

from bench.agent_load import EVENT_BYTES, AgentProcess, MinimalEngine, MinimalEntry
from bench.report import print_figure

IDLE_S = 10.0
LOAD_S = 4.0
N_ENTRIES = 4
N_STREAMS = 64
RATES_PER_SECOND = (500, 2_000, 8_000)


async def _measure_idle(agent: AgentProcess, entries: list[MinimalEntry]) -> None:
    await asyncio.sleep(2.0)
    cpu_s = agent.read_cpu_s()
    n_bytes = entries[0].n_bytes_received
    await asyncio.sleep(IDLE_S)
    share = (agent.read_cpu_s() - cpu_s) / IDLE_S * 100
    n_bytes = entries[0].n_bytes_received - n_bytes
    memory_mb = agent.read_resident_mb()
    print_figure("agent.idle_memory", memory_mb, "MB", target="<=32")
    print_figure("agent.idle_cpu", share, "%_of_core", target="<=1.8")
    rate = n_bytes / IDLE_S
    print_figure("agent.idle_traffic_per_entry", rate, "bytes/s", target="<=24000")


async def _measure_rate(
    agent: AgentProcess, engine: MinimalEngine, entry: MinimalEntry, rate: int
) -> None:
    cpu_s = agent.read_cpu_s()
    n_events = engine.n_events
    n_bytes = entry.n_stream_bytes
    await engine.stream(rate, LOAD_S)
    n_events = engine.n_events - n_events
    await entry.wait_for_bytes(n_bytes + n_events * EVENT_BYTES)
    microseconds = (agent.read_cpu_s() - cpu_s) / n_events * 1e6
    name = f"agent.cpu_per_event_at_{rate}_per_s"
    print_figure(name, microseconds, "us", target="none")


async def _measure() -> None:
    engine = MinimalEngine()
    await engine.start()
    async with AgentProcess(engine.port) as agent:
        entries = [MinimalEntry(agent.port, f"entry-{i}") for i in range(N_ENTRIES)]
        for entry in entries:
            await entry.__aenter__()
        await _measure_idle(agent, entries)
        for index in range(N_STREAMS):
            entries[0].dispatch(f"a{index}")
        await engine.wait_for_streams(N_STREAMS)
        for rate in RATES_PER_SECOND:
            await _measure_rate(agent, engine, entries[0], rate)
        memory_mb = agent.read_resident_mb()
        print_figure(f"agent.memory_with_{N_STREAMS}_streams", memory_mb, "MB")
        for entry in entries:
            await entry.__aexit__()


def main() -> None:
    """Measure one agent process beside a minimal engine."""
    asyncio.run(_measure())


if __name__ == "__main__":
    main()
