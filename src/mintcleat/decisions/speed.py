"""Learned speed of one upstream: seconds per token, prompt tokens a second."""

from mintcleat.decisions import calls

# Until the first call ends, an upstream counts as a usual one.
START_TOKEN_TIME = 0.03
START_PREFILL_RATE = 5000.0
# One sample moves the estimate by an eighth: a burst of noise is smoothed,
# and a real change shows after about ten calls.
_GAIN = 1 / 8
# Prompts shorter than this measure the queue in the engine, not its speed.
_MIN_PREFILL_SAMPLE = 64


class Speed:
    """Moving averages over the calls of one upstream."""

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
        """Learns from one call that ended well.

        `backlog` is the prompt tokens that were ahead of it in the engine;
        left out, a busy engine would look slow at computing prompts.
        """
        if not outcome.ok:
            return
        first = outcome.first_token
        if outcome.generated > 1 and first > 0:
            self.observe_gap((outcome.seconds - first) / outcome.generated)
        if outcome.computed >= _MIN_PREFILL_SAMPLE and first > 0:
            rate = (backlog + outcome.computed) / first
            self.prefill_samples += 1
            gain = _gain(self.prefill_samples)
            self.prefill_rate += (rate - self.prefill_rate) * gain
        if self.samples == 0:
            self.service = outcome.seconds
        self.service += (outcome.seconds - self.service) * _GAIN
        self.samples += 1

    def observe_gap(self, token_time: float) -> None:
        """Learns from a stream under way.

        A slow upstream would else show only when its calls end, which is
        late in proportion to how slow it is.
        """
        self.token_samples += 1
        gain = _gain(self.token_samples)
        self.token_time += (token_time - self.token_time) * gain

    def measured_token_time(self) -> float:
        """Returns the learned seconds per token; 0 before any was seen."""
        return self.token_time if self.token_samples else 0.0

    def measured_prefill_rate(self) -> float:
        """Returns the learned prompt tokens a second; 0 if none was seen."""
        return self.prefill_rate if self.prefill_samples else 0.0

    def estimate(self, call: calls.Call) -> float:
        """Returns the expected service time of a call, in seconds."""
        prefill = call.new_tokens / max(self.prefill_rate, 1.0)
        return prefill + call.expected_tokens * self.token_time


def _gain(samples: int) -> float:
    """Returns the weight of a sample; the first ones are plainly averaged.

    An upstream that is far from a usual one would else be misjudged for its
    first thirty calls, and get none of them if it looks slow.
    """
    return max(_GAIN, 1.0 / samples)
