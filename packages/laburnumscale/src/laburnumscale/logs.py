"""Logs.

Structured log lines, for changes of state only.
"""

import logging
import sys

import structlog

__all__ = ["configure_logs", "get_logger"]


def configure_logs(log_format: str, daemon: str) -> None:
    """Set up the log lines of this process, on standard error.

    :param log_format: ``json`` or ``console``.
    :param daemon: name that every line carries.
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
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    structlog.contextvars.bind_contextvars(daemon=daemon)


def get_logger() -> structlog.stdlib.BoundLogger:
    """Return the logger of the process."""
    return structlog.get_logger()
