"""Whether a process that is being stopped still sends a request upstream.

A request that an upstream runs when the process ends is lost, and one that may
not be repeated is lost for good. A refused one runs at another entry a moment
later. So a request is sent only if its run can end before the process does.

How long a run can take at most is known from its deadline, which may be many
times longer than the run. While the load balancer still sends requests, all of
them would be refused by their deadlines alone; so until then the usual time of
an answer is enough. After that only callers come that have been sending for
long. They are few, and the deadline decides.
"""

import math
from typing import NamedTuple

from mintcleat.decisions import moving_average

# Time of an answer that is allowed for, as a multiple of the mean.
_MEAN_FACTOR = 2.0


class StopTimes(NamedTuple):
    """Times of a planned stop, in monotonic seconds.

    Attributes:
        notice_until: When the load balancer has ceased to send requests.
        answers_by: When the last answers must begin to be sent.
    """

    notice_until: float = math.inf
    answers_by: float = math.inf

    def allow(
        self, now: float, arrived: float, latest: float, expected: float
    ) -> bool:
        """Returns whether a request may be sent to an upstream.

        Args:
            now: The present time.
            arrived: When the whole request had arrived.
            latest: When its run ends at the latest.
            expected: Seconds that an answer usually takes.
        """
        if latest <= self.answers_by:
            return True
        is_in_notice = arrived < self.notice_until
        return is_in_notice and now + expected <= self.answers_by


class AnswerTimes:
    """Usual times of the answers of services.

    Attributes:
        means: Mean time of a whole answer, by service.
    """

    def __init__(self) -> None:
        self.means: dict[str, float] = {}

    def observe(self, service: str, seconds: float) -> None:
        """Records the time of a whole answer."""
        mean = self.means.get(service, 0.0)
        self.means[service] = moving_average.update(mean, seconds)

    def expected(self, service: str, target_latency: float) -> float:
        """Returns the seconds to allow for an answer.

        Args:
            service: Service that gives it.
            target_latency: Seconds in which its route should answer, which
                count if they are longer or nothing is measured yet.
        """
        mean = self.means.get(service, 0.0)
        return max(_MEAN_FACTOR * mean, target_latency)
