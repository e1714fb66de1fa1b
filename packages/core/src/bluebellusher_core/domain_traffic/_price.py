"""Cost of a request that is served in another failure domain."""

from dataclasses import dataclass

BYTES_PER_GB = 1_000_000_000
# Bytes of a prompt for each of its tokens, and of an event for each of its tokens: an
# event of 85 bytes holds 5 tokens.
N_BYTES_PER_INPUT_TOKEN = 4
N_BYTES_PER_OUTPUT_TOKEN = 17
# Bytes of the heads of a request and of its answer, of chunk frames and of TCP.
N_HEAD_BYTES = 1_500


@dataclass(frozen=True, slots=True)
class TrafficPrice:
    """Price of traffic between failure domains and worth of an answer, in one currency.

    Parameters
    ----------
    price_per_gb : float
        Price of 10^9 bytes between two failure domains, in either direction.
    answer_value : float
        Worth of an answer within its objective, compared with a late or missing one.
    round_trip_ms : float
        Time by which an answer from another failure domain is later, in ms.
    """

    price_per_gb: float
    answer_value: float
    round_trip_ms: float = 2.0

    def compute_cost(self, n_bytes: float) -> float:
        """Return the cost of sending ``n_bytes``, in answers within their objective.

        Examples
        --------
        >>> TrafficPrice(price_per_gb=1_000, answer_value=2).compute_cost(4_000)
        0.002
        """
        return n_bytes / BYTES_PER_GB * self.price_per_gb / self.answer_value


def estimate_bytes(n_input_tokens: int, n_output_tokens: int) -> int:
    """Return the expected bytes of a request and its answer, in both directions."""
    return (
        N_HEAD_BYTES
        + N_BYTES_PER_INPUT_TOKEN * n_input_tokens
        + N_BYTES_PER_OUTPUT_TOKEN * n_output_tokens
    )
