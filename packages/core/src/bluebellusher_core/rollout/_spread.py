"""Choice of the entries that poll the table and of the peers that receive a push.

Both numbers are bounded for any number of entries.
"""

from collections.abc import Collection, Mapping
from random import Random

from bluebellusher_core.rendezvous import score

N_POLLERS_PER_DOMAIN = 2
N_FAN_OUT = 4


def is_poller(instance_id: str, domain_members: Collection[str]) -> bool:
    """Return whether this entry polls the table for its failure domain.

    The ``N_POLLERS_PER_DOMAIN`` entries with the lowest hashes poll. Entries with
    different views of the members may choose different pollers. This costs a few more
    reads, but never leaves a domain without a poller.

    Parameters
    ----------
    instance_id : str
        Instance id of this entry.
    domain_members : collection of str
        Instance ids of the entries in its failure domain that are alive in its view.
    """
    others = (member for member in domain_members if member != instance_id)
    own_hash = score("config-poll", instance_id)
    n_lower = sum(score("config-poll", other) < own_hash for other in others)
    return n_lower < N_POLLERS_PER_DOMAIN


def choose_fan_out(
    domain_by_peer: Mapping[str, str], own_domain: str, random_state: Random
) -> list[str]:
    """Choose the peers to which a new version is pushed.

    One peer is chosen in each of up to ``N_FAN_OUT`` other failure domains, so that a
    version reaches another domain in one hop, and up to ``N_FAN_OUT`` peers are chosen
    in the own domain. In a domain of n entries, the push reaches all of them after
    about log(n) / log(4) hops. Peers that the push missed receive the version after an
    exchange of digests.
    """
    peers_by_domain: dict[str, list[str]] = {}
    for peer in sorted(domain_by_peer):
        peers_by_domain.setdefault(domain_by_peer[peer], []).append(peer)
    own_peers = peers_by_domain.pop(own_domain, [])
    chosen = random_state.sample(own_peers, min(N_FAN_OUT, len(own_peers)))
    domains = sorted(peers_by_domain)
    for domain in random_state.sample(domains, min(N_FAN_OUT, len(domains))):
        chosen.append(random_state.choice(peers_by_domain[domain]))
    return chosen
