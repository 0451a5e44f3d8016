"""`mintcleat experiment`: runs policies on the emulator."""

import pathlib
import sys

from mintcleat.domain import errors
from mintcleat.emulator import plan as plan_module
from mintcleat.emulator import report
from mintcleat.main import cli_client
from mintcleat.main import cli_tables


def run(plan: str, save: str, against: str, plot: str, as_json: bool) -> None:
    """Runs a plan, prints its table and writes the files that are named."""
    try:
        earlier = report.load(pathlib.Path(against)) if against else {}
        rows = report.run(plan_module.read(pathlib.Path(plan)))
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
