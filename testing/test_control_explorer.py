"""Some seeded schedules of faults for control instances.

`python testing/control_explorer.py --seeds 50` runs more of them.
"""

import pytest

import control_explorer


@pytest.mark.parametrize("seed", range(1, 13))
def test_acknowledged_versions_are_read_back_under_faults(seed: int) -> None:
    """Guards against reads of a version older than the acknowledged one.

    In one such failure, version 66 was read four seconds after version 69 had
    been acknowledged. Each schedule loses disks, power, processes, links and
    time at two instances or at all of them, and can end with two disks lost
    while all other instances lose power. Every read at any instance must
    return at least the version that was acknowledged before it was sent. Each
    state machine must have what its replica counts as applied. At the end,
    every instance must answer.
    """
    control_explorer.explore(seed, seconds=6.0)
