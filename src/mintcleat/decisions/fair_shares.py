"""Weighted max-min shares of the work that a service does for its customers.

A customer that sends many times its usual load would otherwise take the
engines from all others. Under contention each customer is entitled to work in
proportion to its weight; what some don't use is divided among those who want
more. The entitlements follow the recent demand, so that idle shares are lent
at once and given back within about `HORIZON_SECONDS`.

A customer is over its share if it demands more than it is entitled to and
several times what the median customer demands. Without the second condition,
customers with few programs would often count as over their share by chance.

Handles some thousand customers: entitlements are computed from all of them a
few times a second, all other operations take constant time.
"""

from collections.abc import Iterable
import math
from typing import NamedTuple

# Time constant of the decaying sums. A customer that multiplies its load by
# seven is recognized within a third of it; a shorter horizon would mistake the
# random bursts of customers with few programs for that.
HORIZON_SECONDS = 2.0
# Seconds between two updates of the entitlements: at least the first, and the
# second for each customer, which bounds the time spent on it.
REFRESH_SECONDS = 0.1
_REFRESH_SECONDS_PER_CUSTOMER = 1e-4
# Demand of a customer over its share, as a multiple of the median demand.
HEAVY_FACTOR = 2.5
# Demand of the median customer, as a multiple of its share, up to which it
# counts as satisfied. Beyond it the service has too little capacity for most
# customers, and none counts as over its share.
_SATISFIED_FACTOR = 1.25
# Fraction of the recent work that is divided. As it is less than the work done,
# the entitlements limit customers once the service is fully used, before any
# demand was refused.
_DIVIDED_FRACTION = 0.95
# Lower bound of a weight, which demand is divided by.
MIN_WEIGHT = 0.01
# Decayed demand, in tokens, below which a customer is forgotten.
_MIN_DEMAND = 0.5


class Want(NamedTuple):
    """What one customer wants.

    Attributes:
        demand: Work in tokens.
        weight: Weight of its share; greater than 0.
    """

    demand: float
    weight: float


class Share(NamedTuple):
    """Share and use of a customer, as fractions of the work of the service.

    Attributes:
        share: What it is entitled to.
        use: What it has received recently.
    """

    share: float
    use: float


def max_min_level(wants: Iterable[Want], capacity: float) -> float:
    """Returns the work per weight that limited customers are entitled to.

    Customers that want less get what they want. The entitlements add up to
    `capacity`, unless the demand is lower; the level is inf in that case.
    """
    ordered = sorted(wants, key=_per_weight)
    weight = sum(want.weight for want in ordered)
    left = capacity
    for want in ordered:
        if _per_weight(want) * weight > left:
            return max(0.0, left) / weight
        left -= want.demand
        weight -= want.weight
    return math.inf


class Usage:
    """Demand and use of one customer, as decaying sums in tokens.

    Attributes:
        weight: Weight of its share.
        demanded: Work of all its turns, including refused ones.
        used: Work of its granted turns.
        updated: Time of the last decay.
    """

    def __init__(self, weight: float, now: float) -> None:
        self.weight = weight
        self.demanded = 0.0
        self.used = 0.0
        self.updated = now

    def decay(self, now: float) -> None:
        """Reduces the sums by the time that has passed."""
        factor = math.exp((self.updated - now) / HORIZON_SECONDS)
        self.demanded *= factor
        self.used *= factor
        self.updated = now


class FairShares:
    """Shares of the customers of one service.

    Attributes:
        usages: Usage by customer; idle customers are removed.
        level: Entitlement per weight, in tokens of decayed work.
        median: Median of the demand per weight, in the same unit.
        total: Decayed work of all customers, in tokens.
    """

    def __init__(self) -> None:
        self.usages: dict[str, Usage] = {}
        self.level = math.inf
        self.total = 0.0
        self.median = 0.0
        self._refresh_at = -math.inf

    def demand(
        self, customer: str, weight: float, tokens: float, now: float
    ) -> None:
        """Records that a customer sent a turn; call it once per turn."""
        usage = self.usages.get(customer)
        if usage is None:
            usage = self.usages[customer] = Usage(weight, now)
        usage.weight = max(weight, MIN_WEIGHT)
        usage.decay(now)
        usage.demanded += tokens

    def use(self, customer: str, tokens: float, now: float) -> None:
        """Records that a turn of a customer was granted."""
        usage = self.usages.get(customer)
        if usage is not None:
            usage.decay(now)
            usage.used += tokens

    def is_over(self, customer: str, now: float) -> bool:
        """Returns whether a customer is over its share and others are not."""
        self.refresh(now)
        usage = self.usages.get(customer)
        if usage is None or len(self.usages) < 2:
            return False
        if self.median > _SATISFIED_FACTOR * self.level:
            return False
        demanded = usage.demanded / usage.weight
        return demanded > max(self.level, HEAVY_FACTOR * self.median)

    def share(self, customer: str, now: float) -> Share:
        """Returns share and use of a customer."""
        self.refresh(now)
        usage = self.usages.get(customer)
        if usage is None or self.total <= 0.0:
            return Share(1.0, 0.0)
        entitled = min(1.0, self.level * usage.weight / self.total)
        return Share(entitled, min(1.0, usage.used / self.total))

    def rate(self, customer: str, now: float) -> float:
        """Returns the tokens per second that a customer over its share gets.

        These are what it is entitled to, or what it is lent beyond that; 0 for
        a customer without usage.
        """
        self.refresh(now)
        usage = self.usages.get(customer)
        if usage is None:
            return 0.0
        usage.decay(now)
        entitled = min(self.level * usage.weight, usage.demanded)
        return max(entitled, usage.used) / HORIZON_SECONDS

    def refresh(self, now: float) -> None:
        """Updates the entitlements if they are out of date."""
        if now < self._refresh_at:
            return
        self._refresh_at = now + max(
            REFRESH_SECONDS, _REFRESH_SECONDS_PER_CUSTOMER * len(self.usages)
        )
        for usage in self.usages.values():
            usage.decay(now)
        for customer in [
            name
            for name, usage in self.usages.items()
            if usage.demanded < _MIN_DEMAND
        ]:
            del self.usages[customer]
        wants = sorted(
            (
                Want(usage.demanded, usage.weight)
                for usage in self.usages.values()
            ),
            key=_per_weight,
        )
        self.total = sum(usage.used for usage in self.usages.values())
        self.level = max_min_level(wants, _DIVIDED_FRACTION * self.total)
        self.median = (
            _per_weight(wants[(len(wants) - 1) // 2]) if wants else 0.0
        )


def _per_weight(want: Want) -> float:
    return want.demand / want.weight
