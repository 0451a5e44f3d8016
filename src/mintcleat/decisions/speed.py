"""Measured speed of one upstream: seconds per token and prefill rate."""

from mintcleat.decisions import calls

# Assumed speed until the first call ends: seconds per token, and prompt tokens
# per second.
START_TOKEN_TIME = 0.03
START_PREFILL_RATE = 5000.0
# Weight of a sample in the moving averages. It smooths noise, and a real change
# shows after about ten calls.
_GAIN = 1 / 8
# Minimum prompt tokens of a sample. For shorter prompts, the time to the first
# token is dominated by the queue inside the engine.
_MIN_PREFILL_SAMPLE = 64


class Speed:
    """Moving averages over the calls of one upstream.

    Attributes:
        token_time: Seconds per generated token.
        prefill_rate: Prompt tokens per second.
        service: Seconds per call; 0 before the first.
        samples: Number of calls.
        token_samples: Number of samples in `token_time`.
        prefill_samples: Number of samples in `prefill_rate`.
    """

    def __init__(
        self,
        token_time: float = START_TOKEN_TIME,
        prefill_rate: float = START_PREFILL_RATE,
    ) -> None:
        self.token_time = token_time
        self.prefill_rate = prefill_rate
        self.service = 0.0
        self.samples = 0
        self.token_samples = 0
        self.prefill_samples = 0

    def observe(self, outcome: calls.Outcome, backlog: int = 0) -> None:
        """Adds the samples of a call; failed calls are ignored.

        Args:
            outcome: How the call ended.
            backlog: Prompt tokens of earlier calls that the engine computed
                first. Without them, a busy engine would seem to have a low
                prefill rate.
        """
        if not outcome.ok:
            return
        first = outcome.first_token
        if outcome.generated > 1 and first > 0:
            self.observe_token_time(
                (outcome.seconds - first) / outcome.generated
            )
        if outcome.computed >= _MIN_PREFILL_SAMPLE and first > 0:
            rate = (backlog + outcome.computed) / first
            self.prefill_samples += 1
            gain = _gain(self.prefill_samples)
            self.prefill_rate += (rate - self.prefill_rate) * gain
        if self.samples == 0:
            self.service = outcome.seconds
        self.service += (outcome.seconds - self.service) * _GAIN
        self.samples += 1

    def observe_token_time(self, token_time: float) -> None:
        """Adds the seconds per token of a stream that is still running.

        Otherwise a slow upstream would be noticed only when its calls end, and
        the slower it is, the later.
        """
        self.token_samples += 1
        gain = _gain(self.token_samples)
        self.token_time += (token_time - self.token_time) * gain

    def measured_token_time(self) -> float:
        """Returns the measured seconds per token; 0 without a sample."""
        return self.token_time if self.token_samples else 0.0

    def measured_prefill_rate(self) -> float:
        """Returns the measured prompt tokens per second; 0 without a sample."""
        return self.prefill_rate if self.prefill_samples else 0.0

    def estimate(self, call: calls.Call) -> float:
        """Returns the expected service time of a call, in seconds."""
        prefill = call.new_tokens / max(self.prefill_rate, 1.0)
        return prefill + call.expected_tokens * self.token_time


def _gain(samples: int) -> float:
    """Returns the weight of a sample; the first ones form a plain average.

    Otherwise the initial values would dominate for about thirty calls, which an
    upstream that looks too slow would never get.
    """
    return max(_GAIN, 1.0 / samples)
