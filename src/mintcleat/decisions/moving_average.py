"""Moving average of the samples that admission control learns from."""

# Weight of a new sample.
WEIGHT = 1 / 16


def update(mean: float, sample: float) -> float:
    """Returns the average after a further sample.

    Args:
        mean: The average so far; 0 before the first sample, which then
            becomes the average.
        sample: The sample.
    """
    return sample if not mean else mean + (sample - mean) * WEIGHT
