"""Subsets of endpoints, load reports and free capacity."""

from hypothesis import given
from hypothesis import strategies as st

from bluebellusher_core.events import (
    EndpointConnected,
    EndpointInfo,
    LoadReported,
)
from bluebellusher_core.membership import Endpoints, choose_subset


def make_info(number, failure_domain, services=("s",)):
    """Return the description of an endpoint with two slots."""
    names = frozenset(services), frozenset("m"), frozenset()
    return EndpointInfo(f"x{number}", failure_domain, *names, 2)


@given(st.lists(st.sampled_from("abc"), max_size=60), st.integers(1, 20), st.data())
def test_property_subset_is_bounded_local_and_stable(domains, n_max, data):
    """Guards against subsets that are too large, remote or change too much."""
    infos = [make_info(i, domain) for i, domain in enumerate(domains)]
    subset = choose_subset("e", "a", infos, n_max)
    assert len(subset) == min(n_max, len(infos))
    n_own = sum(1 for info in infos if info.failure_domain == "a")
    n_chosen_own = sum(1 for i in infos if i.endpoint_id in subset and _is_own(i))
    assert n_chosen_own >= min(n_own, max(1, int(n_max * 0.75)))
    if infos:
        lost = data.draw(st.sampled_from(infos))
        remaining_infos = [info for info in infos if info is not lost]
        after = choose_subset("e", "a", remaining_infos, n_max)
        assert len(subset - after - {lost.endpoint_id}) == 0


def _is_own(info):
    return info.failure_domain == "a"


def test_late_report_is_ignored_and_a_loaded_model_adds_its_pool():
    """Guards against an old report that overwrites a newer one."""
    endpoints = Endpoints(n_max=4)
    endpoints.connect(EndpointConnected(make_info(0, "a")), 0)
    pool = ("s", "n", "")
    assert not endpoints.views_of(pool)

    def report(sequence, models):
        names = frozenset(models), frozenset()
        event = LoadReported("x0", sequence, 0, 0, 0, 2, 0.0, *names, 0)
        endpoints.record_load_report(event, 10)

    report(2, "mn")
    assert endpoints.views_of(pool)
    report(1, "m")
    assert endpoints.views_of(pool)
    report(3, "m")
    assert not endpoints.views_of(pool)


def test_ended_attempts_free_capacity_before_the_next_report():
    """Guards against ended attempts that count as running until the next report.

    They would fill an endpoint for up to 5 s, the maximum age of a report.
    """
    endpoints = Endpoints(n_max=4)
    endpoints.connect(EndpointConnected(make_info(0, "a")), 0)
    names = frozenset("m"), frozenset()
    endpoints.record_load_report(LoadReported("x0", 1, 0, 0, 0, 2, 0.0, *names, 0), 10)
    view = endpoints.view_by_id["x0"]
    view.own_dispatched_at_ms = [20] * 4
    assert not endpoints.views_with_capacity(("s", "m", ""), 30)
    view.own_ended_at_ms = [25] * 4
    assert endpoints.views_with_capacity(("s", "m", ""), 30)
