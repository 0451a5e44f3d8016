"""What programs are worth: the measure by which variants are compared."""

from collections.abc import Iterable
from collections.abc import Mapping

from mintcleat.emulator import forecast
from mintcleat.emulator import plan
from mintcleat.emulator import programs

# Worth of a program that ends late, relative to one within its target.
LATE_WORTH = 0.5


def by_kind(experiment: plan.Plan) -> dict[str, float]:
    """Returns the worth of a program by kind: the mean target of its kind.

    It is computed from the plan alone, so that all variants, loads and seeds
    are measured alike.
    """
    return {
        name: forecast.mean_target(
            experiment.engine, experiment.entries, kind, name
        )
        for name, kind in experiment.kinds.items()
    }


def earned_part(
    finished: Iterable[programs.ProgramResult], worths: Mapping[str, float]
) -> float:
    """Returns the worth earned as a fraction of the worth of all programs.

    It is 0 without any program.

    Args:
        finished: Results of programs.
        worths: Worth of a program by kind.
    """
    total = earned = 0.0
    for program in finished:
        worth = worths[program.kind]
        total += worth
        match program.outcome:
            case "aim":
                earned += worth
            case "late":
                earned += worth * LATE_WORTH
    return earned / total if total else 0.0
