"""Properties and faults of the engine stand-in."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class EngineSettings:
    """Properties of the simulated engine.

    Parameters
    ----------
    models, adapters : list of str
        What is loaded at the start.
    n_slots : int
        Batch limit.
    token_interval_ms : float
        Time between tokens of one stream.
    prefill_tokens_per_ms : float
        Prefill pace.
    n_cache_blocks : int
        Prompt blocks of 64 bytes that fit into memory.
    load_lag_ms : int
        Age of the load that is reported.
    cache_event_lag_ms : int
        Delay of cache events.
    cache_gap_every : int
        Every that many cache events one is lost; 0 loses none.
    checks_fencing_token : bool
        Whether an order with an old token is refused with 409.
    crash_marker : str
        A request whose body contains it crashes the engine; empty for none.
    restart_ms : int
        Time from a crash until the engine listens again; with 0 it never stops
        listening and only loses its connections and state.
    hold_ms : int
        How long a stream without a reader is held for resumption.
    exits_on_crash : bool
        End the whole process instead of simulating the crash.
    """

    models: list[str] = field(default_factory=lambda: ["model-a"])
    adapters: list[str] = field(default_factory=list)
    n_slots: int = 8
    token_interval_ms: float = 10.0
    prefill_tokens_per_ms: float = 50.0
    n_cache_blocks: int = 4096
    load_lag_ms: int = 0
    cache_event_lag_ms: int = 200
    cache_gap_every: int = 0
    checks_fencing_token: bool = True
    crash_marker: str = ""
    restart_ms: int = 500
    hold_ms: int = 10_000
    exits_on_crash: bool = False


@dataclass(slots=True)
class EngineFaults:
    """Faults that are in force.

    Parameters
    ----------
    is_stalled : bool
        No tokens are produced; other paths answer.
    is_frozen : bool
        No tokens are produced and no path answers.
    break_streams : int
        That many streams lose their connection at their next token; they are held
        for resumption.
    truncate_streams : int
        That many next streams end as if complete after their first token.
    cross_attempts : int
        That many next answers carry another attempt's id.
    mute_streams : int
        That many streams send nothing more after their first token, on an open
        connection; they are held for resumption.
    refuse_resumes : bool
        No stream is held for resumption.
    is_draining : bool
        Shown in the load report.
    """

    is_stalled: bool = False
    is_frozen: bool = False
    break_streams: int = 0
    truncate_streams: int = 0
    cross_attempts: int = 0
    mute_streams: int = 0
    refuse_resumes: bool = False
    is_draining: bool = False
