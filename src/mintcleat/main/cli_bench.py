"""`mintcleat bench`: open-loop program load against running entries."""

import json
import pathlib

import urllib3

from mintcleat.adapters import response_checks
from mintcleat.adapters import timers as timers_module
from mintcleat.load import arrivals
from mintcleat.load import client as client_module
from mintcleat.load import driver as driver_module
from mintcleat.load import plan as plan_module
from mintcleat.load import report

_DRAIN_TIMEOUT_SECONDS = 60.0
_MAX_CONNECTIONS = 4096


def run(plan_file: str, entries: str, folder: str, as_json: bool) -> None:
    """Runs a load plan, prints the results and writes the report."""
    plan = plan_module.load(pathlib.Path(plan_file))
    programs = arrivals.schedule(plan)
    timers = timers_module.EventletTimers()
    urllib3.disable_warnings()
    addresses = entries.split(",")
    pool = response_checks.PoolManager(
        maxsize=_MAX_CONNECTIONS, num_pools=len(addresses) + 1
    )
    client = client_module.Client(addresses, timers, pool)
    driver = driver_module.Driver(client, timers)
    driver.run(programs, _DRAIN_TIMEOUT_SECONDS)
    results = report.summary(driver)
    print(json.dumps(results) if as_json else report.table(results))
    if folder:
        names = report.write(pathlib.Path(folder), driver)
        if not as_json:
            print(f"wrote {', '.join(names)} to {folder}")
