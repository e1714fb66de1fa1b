"""The one output format of all measurements."""


def print_figure(
    name: str, value: float, unit: str, target: str = "none", baseline: str = "none"
) -> None:
    """Print one figure; ``target`` has its direction, such as ``<=1.3``."""
    number = f"{value:.6g}"
    line = f"name={name} value={number} unit={unit} target={target} baseline={baseline}"
    print(line, flush=True)
