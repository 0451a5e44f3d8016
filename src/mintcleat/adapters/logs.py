"""Configuration of loguru for text or JSON lines.

Message contents and tokens are never logged; roles bind only ids.
"""

import json
import sys
from typing import Any
from typing import TextIO

from loguru import logger

_TEXT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <7} {extra[instance]} "
    "{name}: {message} {extra}"
)


def configure(
    instance: str, level: str, as_json: bool, sink: TextIO = sys.stderr
) -> None:
    """Writes the process's logs to `sink`, with the instance in each line."""
    logger.remove()
    logger.configure(extra={"instance": instance})
    if as_json:

        def write(message: Any) -> None:
            sink.write(json_line(message.record) + "\n")

        logger.add(
            write,
            level=level.upper(),
            format="{message}",
        )
        return
    logger.add(sink, level=level.upper(), format=_TEXT, diagnose=False)


def json_line(record: Any) -> str:
    """Returns a log record as a JSON object on one line."""
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name.lower(),
        "module": record["name"],
        "message": record["message"],
        **{key: str(value) for key, value in record["extra"].items()},
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    return json.dumps(line)
