"""Who reads the table and who tells whom, bounded at any number of entries."""

from collections.abc import Collection, Mapping
from random import Random

from bluebellusher_core.rendezvous import score

N_POLLERS_PER_DOMAIN = 2
N_FAN_OUT = 4


def is_poller(instance_id: str, domain_members: Collection[str]) -> bool:
    """Return whether this entry polls the table for its failure domain.

    The entries with the lowest hashes poll. Entries that see different members may
    disagree, which costs a few more reads and never leaves a domain without a poller.

    Parameters
    ----------
    instance_id : str
        This entry.
    domain_members : collection of str
        Entries of its failure domain that it believes to be alive.
    """
    others = (member for member in domain_members if member != instance_id)
    own = score("config-poll", instance_id)
    n_before = sum(score("config-poll", other) < own for other in others)
    return n_before < N_POLLERS_PER_DOMAIN


def choose_fan_out(
    domain_by_peer: Mapping[str, str], own_domain: str, random_state: Random
) -> list[str]:
    """Choose the peers to which a new version is pushed.

    One peer is in each of up to ``N_FAN_OUT`` other failure domains, so that a version
    crosses domains in one hop, and ``N_FAN_OUT`` peers are in the own domain. With n
    entries in a domain the push arrives everywhere after about log(n) / log(4) hops;
    digests reach those that the push missed.
    """
    peers_by_domain: dict[str, list[str]] = {}
    for peer in sorted(domain_by_peer):
        peers_by_domain.setdefault(domain_by_peer[peer], []).append(peer)
    own = peers_by_domain.pop(own_domain, [])
    chosen = random_state.sample(own, min(N_FAN_OUT, len(own)))
    domains = sorted(peers_by_domain)
    for domain in random_state.sample(domains, min(N_FAN_OUT, len(domains))):
        chosen.append(random_state.choice(peers_by_domain[domain]))
    return chosen
