"""Logs.

Configures the structured log of decisions and changes of state.
"""

import logging
import sys

import structlog

from laburnumscale.logoutput import LogOutput

__all__ = ["configure_logs", "get_logger"]


class LibraryLogHandler(logging.Handler):
    """Logs each record of a library as a single line, without a stack trace.

    Consecutive records of a logger with the same message are written once.
    """

    def __init__(self) -> None:
        super().__init__()
        self._last_messages: dict[str, str] = {}

    def emit(self, record: logging.LogRecord) -> None:
        """Log one record, unless it repeats the previous message of its logger."""
        message = _first_line(record)
        if self._last_messages.get(record.name) == message:
            return
        self._last_messages[record.name] = message
        error = record.exc_info[1] if record.exc_info else None
        get_logger().log(
            record.levelno,
            "library message",
            library=record.name,
            message=message,
            error=repr(error) if error else None,
        )


def _first_line(record: logging.LogRecord) -> str:
    lines = record.getMessage().splitlines() or [""]
    return lines[0]


def configure_logs(log_format: str, daemon: str) -> None:
    """Configure the log of this process, which goes to standard output.

    :param log_format: ``json`` or ``console``.
    :param daemon: name of the daemon, added to every line.
    """
    renderer = (
        structlog.processors.JSONRenderer()
        if log_format == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(LogOutput(sys.stdout, daemon)),
    )
    structlog.contextvars.bind_contextvars(daemon=daemon)
    logging.basicConfig(level=logging.WARNING, handlers=[LibraryLogHandler()])


def get_logger() -> structlog.stdlib.BoundLogger:
    """Return the logger of this process."""
    return structlog.get_logger()
