"""Sets up the logs of the process."""

import json
import logging
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
# Without the values of local variables: the text of a malformed message between
# daemons cannot be formed, and the attempt aborts the process.
_EXCEPTIONS: Any = {"diagnose": False, "backtrace": False}


def _text_format(record: Any) -> str:
    extra = record["extra"]
    own_fields = ("zone", "instance", "fields")
    bound_fields = {k: v for k, v in extra.items() if k not in own_fields}
    extra["fields"] = " ".join(f"{k}={v}" for k, v in bound_fields.items())
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
    """Writes the logs to standard error, as text or JSON lines."""
    sink: Any = _write_json if settings.log.json else sys.stderr
    logger.remove()
    logger.configure(
        extra={
            "zone": settings.instance.zone,
            "instance": settings.instance.name,
        }
    )
    if settings.log.json:
        logger.add(sink, level=settings.log.level, **_EXCEPTIONS)
    else:
        logger.add(
            sink,
            level=settings.log.level,
            format=_text_format,
            **_EXCEPTIONS,
        )


class _ForwardingHandler(logging.Handler):
    """Passes the records of the standard library's loggers on."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs a record at its own level."""
        try:
            text = f"{record.name}: {record.getMessage()}"
            exception = record.exc_info
            logger.opt(exception=exception).log(record.levelname, text)
        except Exception:  # the convention of logging for errors of handlers
            self.handleError(record)


def write_to(
    decisions: decisionlog.DecisionLog, settings: settings_module.Settings
) -> None:
    """Writes the logs as messages of the decision log.

    Those of libraries too: the default of these is standard error, where a
    write blocks the event loop while nobody reads.
    """

    def append_line(message: Any) -> None:
        record = message.record
        text = record["message"]
        if record["exception"]:
            text = f"{text}: {record['exception'].value!r}"
        decisions.message(record["level"].name, text)

    logger.remove()
    logger.add(
        append_line,
        level=settings.log.level,
        format="{message}",
        **_EXCEPTIONS,
    )
    logging.basicConfig(
        handlers=[_ForwardingHandler()], level=logging.WARNING, force=True
    )
