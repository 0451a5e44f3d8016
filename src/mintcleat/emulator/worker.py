"""Runs simulations in worker processes.

Each process gets its cases at once and returns all results at its end, so the
parent needs neither threads nor a pool. A pool's threads don't run in a process
with green threads.
"""

import os
import pickle
import subprocess
import sys

from mintcleat.domain import errors
from mintcleat.emulator import plan as plan_module
from mintcleat.emulator import simulation

# Plan, seed, load and policy of one simulation.
Case = tuple[plan_module.Plan, int, float, plan_module.Variant]


def run(cases: list[Case], processes: int) -> list[simulation.Result]:
    """Returns the result of each case, in order.

    Args:
        cases: Arguments of `simulation.run`.
        processes: Number of processes; each gets every n-th case.

    Raises:
        errors.MintcleatError: A process failed.
    """
    parts = [cases[number::processes] for number in range(processes)]
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    workers = []
    for part in parts:
        worker = subprocess.Popen(
            [sys.executable, "-m", __name__],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env=environment,
        )
        assert worker.stdin is not None
        worker.stdin.write(pickle.dumps(part))
        worker.stdin.close()
        workers.append(worker)
    outputs = []
    for worker in workers:
        assert worker.stdout is not None
        outputs.append(worker.stdout.read())
    codes = [worker.wait() for worker in workers]
    if any(codes):
        raise errors.MintcleatError("A process of the experiment failed.")
    results: dict[int, simulation.Result] = {}
    for number, output in enumerate(outputs):
        places = range(number, len(cases), processes)
        results.update(zip(places, pickle.loads(output), strict=True))
    return [results[place] for place in range(len(cases))]


def main() -> None:
    """Reads cases from standard input and writes their results."""
    cases = pickle.loads(sys.stdin.buffer.read())
    results = [simulation.run(*case) for case in cases]
    sys.stdout.buffer.write(pickle.dumps(results))


if __name__ == "__main__":
    main()
