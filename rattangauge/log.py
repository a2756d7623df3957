"""Sets up structured logs on standard error."""

import json
import sys
from typing import Any

import loguru

from rattangauge import decisionlog
from rattangauge import settings as settings_module

logger = loguru.logger

_TEXT_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <7} {extra[zone]}"
    "/{extra[instance]} {message} {extra[fields]}"
)


def _text_format(record: Any) -> str:
    extra = record["extra"]
    hidden = ("zone", "instance", "fields")
    named = {k: v for k, v in extra.items() if k not in hidden}
    extra["fields"] = " ".join(f"{k}={v}" for k, v in named.items())
    return _TEXT_FORMAT + "\n{exception}"


def _write_json(message: Any) -> None:
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **record["extra"],
    }
    if record["exception"]:
        line["exception"] = repr(record["exception"].value)
    print(json.dumps(line, default=str), file=sys.stderr, flush=True)


def configure(settings: settings_module.Settings) -> None:
    """Directs all logs of the process to standard error."""
    sink: Any = _write_json if settings.log.json else sys.stderr
    logger.remove()
    logger.configure(
        extra={
            "zone": settings.instance.zone,
            "instance": settings.instance.name,
        }
    )
    if settings.log.json:
        logger.add(sink, level=settings.log.level)
    else:
        logger.add(sink, level=settings.log.level, format=_text_format)


def write_to(
    decisions: decisionlog.DecisionLog, settings: settings_module.Settings
) -> None:
    """Directs the logs of the process to the log of decisions."""

    def write(message: Any) -> None:
        record = message.record
        text = record["message"]
        if record["exception"]:
            text = f"{text}: {record['exception'].value!r}"
        decisions.message(record["level"].name, text)

    logger.remove()
    logger.add(write, level=settings.log.level, format="{message}")
