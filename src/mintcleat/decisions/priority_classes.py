"""A bounded number of classes for the priorities of customers.

Customers' priorities come before those of routes. If each value were a rank of
its own, then with many values two customers would seldom have the same one: the
priority of routes would decide nothing, the less urgent programs of a preferred
customer would always go before the urgent ones of the next, and so many ranks
would be owed guaranteed turns that these were all there is.

Values that are in use are divided into at most `MAX_CLASSES` classes of
neighbors with about equal numbers of turns. Up to that many values are a class
each. Within a class the priority of the route decides.

Each turn takes constant time; the classes are computed once a second.
"""

import bisect

# With as many classes and routes of three priorities there are nine ranks of
# first turns. Each of the eight that are passed over gets one of 16 turns
# (`turn_ranks.GUARANTEED_INTERVAL`), so that the order decides on half of
# all. With two classes, no customer would be between the others.
MAX_CLASSES = 3
# Values that are counted. Further ones belong to the classes of these.
_MAX_VALUES = 256
# Time between two computations of the classes, and the part of the counts that
# is kept over it: values are forgotten within a few minutes, far longer than
# programs take, so that the classes don't follow random bursts. A count below
# the last constant is dropped.
_REFRESH_SECONDS = 1.0
_KEPT_FRACTION = 0.98
_MIN_COUNT = 0.05


class PriorityClasses:
    """Classes of the priorities that turns of one service have.

    Attributes:
        counts: Decayed number of turns by priority.
        classes: The most urgent priority of each class, in order.
    """

    def __init__(self) -> None:
        self.counts: dict[int, float] = {}
        self.classes: list[int] = []
        self._refresh_at = 0.0

    def observe(self, priority: int, now: float) -> None:
        """Counts a new turn."""
        if priority in self.counts or len(self.counts) < _MAX_VALUES:
            self.counts[priority] = self.counts.get(priority, 0.0) + 1.0
        if priority not in self.classes and len(self.classes) < MAX_CLASSES:
            bisect.insort(self.classes, priority)
        if now >= self._refresh_at:
            self._refresh_at = now + _REFRESH_SECONDS
            self._refresh()

    def class_of(self, priority: int) -> int:
        """Returns the most urgent priority of the class of a priority."""
        if not self.classes:
            return priority
        position = bisect.bisect_right(self.classes, priority)
        return self.classes[max(0, position - 1)]

    def _refresh(self) -> None:
        """Decays the counts and divides the priorities into classes."""
        self.counts = {
            priority: count * _KEPT_FRACTION
            for priority, count in self.counts.items()
            if count * _KEPT_FRACTION >= _MIN_COUNT
        }
        priorities = sorted(self.counts)
        if len(priorities) <= MAX_CLASSES:
            self.classes = priorities
            return
        size = sum(self.counts.values()) / MAX_CLASSES
        classes: list[int] = []
        before = 0.0
        for position, priority in enumerate(priorities):
            left = len(priorities) - position
            missing = MAX_CLASSES - len(classes)
            # A value begins a class when enough turns come before it, or when
            # each of the values left must.
            if before >= len(classes) * size or left == missing:
                classes.append(priority)
            before += self.counts[priority]
            if len(classes) == MAX_CLASSES:
                break
        self.classes = classes
