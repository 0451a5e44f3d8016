"""Runs the soak test from the command line.

Usage: python -m testing.soak [--seed N] [--seconds S] [--fault NAME]
    [--until_found] [--keep] [--controls N]
"""

import sys

import fire
from testing.soak import event_loop
from testing.soak import run as run_module

# It has to be the first of the soak's modules; see there.
assert event_loop


def main(
    seed: int = 1,
    seconds: float = 60.0,
    fault: str = "",
    until_found: bool = False,
    keep: bool = False,
    controls: int = 3,
) -> None:
    """Runs the soak test; exits with 1 if a check found a violation.

    Args:
        seed: Seed of the schedule of faults and of the load.
        seconds: Duration of the load.
        fault: Known fault to reintroduce; see testing/soak/reintroduced.py.
        until_found: Whether to end at the first violation.
        keep: Whether to keep the logs even if there was no violation.
        controls: Number of control instances; with 5, the disks of two are
            lost at once.
    """
    result = run_module.run(seed, seconds, fault, until_found, keep, controls)
    print(f"seed {seed}, {seconds:g} s")
    print(result.text)
    if result.checks.violations:
        print(
            f"First violation after {result.seconds_to_find:.1f} s; logs and "
            f"schedule: {result.folder}"
        )
        sys.exit(1)
    if keep:
        print(f"logs and schedule: {result.folder}")
    print("no violation")


if __name__ == "__main__":
    fire.Fire(main)
