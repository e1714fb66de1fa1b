"""Settings and faults of the engine stand-in."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class EngineSettings:
    """Settings of the simulated engine.

    Parameters
    ----------
    models, adapters : list of str
        Names of the models and adapters that are loaded at the start.
    n_slots : int
        Maximum number of generations in the batch.
    token_interval_ms : float
        Time between two tokens of a stream, in ms.
    prefill_tokens_per_ms : float
        Prefill speed in prompt tokens per ms, for the whole batch.
    n_cache_blocks : int
        Capacity of the prefix cache, in prompt blocks of 64 bytes.
    load_lag_ms : int
        Minimum age of the load readings that are reported, in ms.
    cache_event_lag_ms : int
        Delay after which a cache event is reported, in ms.
    cache_gap_every : int
        Of every ``cache_gap_every`` cache events, one is lost; with 0, none is lost.
    checks_fencing_token : bool
        Whether an order with an old fencing token is refused with status 409.
    crash_marker : str
        Text that crashes the engine when a request body contains it; with an empty
        text, no request crashes the engine.
    restart_ms : int
        Time from a crash until the engine listens again, in ms. With 0 the engine keeps
        listening and only loses its connections and state.
    hold_ms : int
        Time in ms for which a stream without a connection is held for resumption, and
        a finished answer is kept.
    exits_on_crash : bool
        Whether a crash ends the process instead of being simulated.
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
    """Faults that the engine stand-in currently simulates.

    Parameters
    ----------
    is_stalled : bool
        No tokens are produced. The other paths still answer.
    is_frozen : bool
        No tokens are produced and no path answers.
    break_streams : int
        Number of streams that lose their connection at their next token. They are
        held for resumption.
    truncate_streams : int
        Number of streams that end after their first token as if they were complete.
    cross_attempts : int
        Number of the next answers that have the id of another attempt.
    mute_streams : int
        Number of streams that send nothing after their first token and keep their
        connection open. They are held for resumption.
    refuse_resumes : bool
        Every resumption is refused, as if no stream were held.
    is_draining : bool
        Whether the load report shows the engine as draining.
    """

    is_stalled: bool = False
    is_frozen: bool = False
    break_streams: int = 0
    truncate_streams: int = 0
    cross_attempts: int = 0
    mute_streams: int = 0
    refuse_resumes: bool = False
    is_draining: bool = False
