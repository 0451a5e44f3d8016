"""`mintcleat experiment`: runs policies on the emulator."""

import pathlib
import sys
from typing import NamedTuple

import msgspec

from mintcleat.domain import errors
from mintcleat.emulator import plan as plan_module
from mintcleat.emulator import report
from mintcleat.main import cli_client
from mintcleat.main import cli_tables


class Options(NamedTuple):
    """How to run a plan and what to write.

    Attributes:
        save: File for the results; none when empty.
        against: Results of an earlier run; none when empty.
        plot: File for a plot; none when empty.
        base: Variant with which the others are compared; none when empty.
        ablate: Whether to run all mechanisms and each of them switched off,
            instead of the plan's variants.
        loads: Loads instead of the plan's, separated by commas.
        processes: Number of processes that simulate.
    """

    save: str = ""
    against: str = ""
    plot: str = ""
    base: str = ""
    ablate: bool = False
    loads: str = ""
    processes: int = 1


def run(path: str, options: Options, as_json: bool) -> None:
    """Runs a plan, prints its table and writes the files that are named."""
    save, plot, base = options.save, options.plot, options.base
    compared = []
    try:
        against = options.against
        earlier = report.load(pathlib.Path(against)) if against else {}
        plan = _changed(plan_module.read(pathlib.Path(path)), options)
        if options.ablate:
            base = base or "all"
        rows = report.run(plan, options.processes)
        if base:
            compared = report.differences(rows, base)
        if save:
            report.save(rows, pathlib.Path(save))
        if plot:
            report.plot(rows, pathlib.Path(plot))
    except errors.MintcleatError as error:
        print(f"{error.detail}\nremedy: {error.remedy}", file=sys.stderr)
        sys.exit(cli_client.INVALID)
    head, *lines = report.table(rows, earlier)
    if as_json:
        print(cli_tables.to_json([row._asdict() for row in rows]))
    else:
        print(cli_tables.format_table(head, lines))
    if compared and not as_json:
        head, *lines = compared
        print(f"\ncompared with {base!r}, seed by seed:")
        print(cli_tables.format_table(head, lines))


def _changed(plan: plan_module.Plan, options: Options) -> plan_module.Plan:
    """Returns the plan with the variants and loads of the options.

    Raises:
        errors.InvalidSettings: A load is not a positive number.
    """
    if options.ablate:
        plan = msgspec.structs.replace(plan, variants=plan_module.ablations())
    if options.loads:
        try:
            loads = [float(load) for load in options.loads.split(",")]
        except ValueError:
            loads = [0.0]
        if min(loads) <= 0.0:
            raise errors.InvalidSettings(
                f"{options.loads!r} is not a list of positive numbers.",
                remedy="Separate loads by commas, such as 0.6,1,2.",
            )
        plan = msgspec.structs.replace(plan, loads=loads)
    return plan
