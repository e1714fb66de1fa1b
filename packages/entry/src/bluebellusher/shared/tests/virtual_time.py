"""Event loop whose time advances to the next timer instead of waiting for it."""

import asyncio
import selectors


class _SkippingSelector(selectors.DefaultSelector):
    """Selector that skips the time for which it would wait."""

    def __init__(self):
        super().__init__()
        self.time_s = 0.0

    def select(self, timeout=None):
        """Return what is ready now, and advance the time by the timeout."""
        events = super().select(0)
        if timeout is None and not events:
            raise RuntimeError("no timer: expected one, otherwise the loop never ends")
        if not events:
            self.time_s += max(0.0, timeout)
        return events


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time, for scenarios without sockets."""

    def __init__(self):
        self._skipping_selector = _SkippingSelector()
        super().__init__(self._skipping_selector)

    def time(self):
        """Return the virtual time, in s."""
        return self._skipping_selector.time_s


class LoopClock:
    """Clock of the running event loop; implements ``Clock``."""

    def now_ms(self):
        """Return the virtual time, in ms."""
        return round(asyncio.get_running_loop().time() * 1000)

    def wall_ms(self):
        """Return the virtual time, in ms."""
        return self.now_ms()


def run_in_virtual_time(coroutine):
    """Run a coroutine to its end in virtual time; return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
