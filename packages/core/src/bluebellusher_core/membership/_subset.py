"""Choice of a bounded subset of endpoints by rendezvous hashing."""

from collections.abc import Iterable

from bluebellusher_core.events import EndpointInfo
from bluebellusher_core.rendezvous import score

# Largest share of the subset from the entry's own failure domain.
OWN_DOMAIN_SHARE = 0.75


def choose_subset(
    entry_id: str,
    failure_domain: str,
    endpoints: Iterable[EndpointInfo],
    n_per_service: int,
) -> frozenset[str]:
    """Return the ids of the endpoints that an entry connects to.

    With rendezvous hashing, at most one member of the subset of a service changes when
    one endpoint is added or removed. The entry's own failure domain gets at most three
    quarters of the subset while other domains have endpoints, so that some connections
    remain when the own domain is lost.

    Parameters
    ----------
    entry_id : str
        Id of the entry; different entries get different subsets.
    failure_domain : str
        Failure domain of the entry.
    endpoints : iterable of EndpointInfo
        All registered endpoints.
    n_per_service : int
        Largest number of endpoints for each service.
    """
    by_service: dict[str, list[EndpointInfo]] = {}
    for info in endpoints:
        for service_id in info.services:
            by_service.setdefault(service_id, []).append(info)
    chosen: set[str] = set()
    for infos in by_service.values():
        chosen |= _choose_for_service(entry_id, failure_domain, infos, n_per_service)
    return frozenset(chosen)


def _choose_for_service(
    entry_id: str, failure_domain: str, infos: list[EndpointInfo], n_max: int
) -> set[str]:
    ranked = sorted((i.endpoint_id for i in infos), key=lambda e: score(entry_id, e))
    own_domain_ids = {
        i.endpoint_id for i in infos if i.failure_domain == failure_domain
    }
    local_ids = [e for e in ranked if e in own_domain_ids]
    remote_ids = [e for e in ranked if e not in own_domain_ids]
    n_local = max(1, int(n_max * OWN_DOMAIN_SHARE))
    n_local = max(n_local, n_max - len(remote_ids))
    picked = local_ids[:n_local]
    return set(picked + remote_ids[: n_max - len(picked)])
