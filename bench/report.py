"""Output format of all measurements."""


def print_figure(
    name: str, value: float, unit: str, target: str = "none", baseline: str = "none"
) -> None:
    """Print one figure as a line of key and value pairs.

    ``target`` starts with the direction, such as ``<=1.3``. ``baseline`` is the value
    of the same figure for a reference to compare with.
    """
    number = f"{value:.6g}"
    line = f"name={name} value={number} unit={unit} target={target} baseline={baseline}"
    print(line, flush=True)
