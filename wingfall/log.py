"""Loggers with a fixed prefix per part, on ``absl.logging``."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any, Final

import gevent
from absl import logging as absl_logging

from wingfall.log_lines import JsonLineHandler

if TYPE_CHECKING:
    from collections.abc import MutableMapping
    from types import TracebackType

# Characters of what failed in a line about an exception.
_MAX_CONTEXT: Final = 500


# Level until the settings are known.
START_LOG_LEVEL: Final = 'info'


class PartLogger(logging.LoggerAdapter[logging.Logger]):
    """Put the name of a part before each of its messages."""

    def process(
        self,
        msg: Any,
        kwargs: MutableMapping[str, Any],
    ) -> tuple[str, MutableMapping[str, Any]]:
        """Add the prefix.

        :param msg: the message with its lazy placeholders.
        :param kwargs: options of the logging call.
        :returns: the prefixed message and the same options.
        """
        prefix = (self.extra or {}).get('part', '')
        return f'{prefix}: {msg}', kwargs


def part_logger(part: str) -> PartLogger:
    """Make the logger of a part.

    :param part: fixed prefix of its lines.
    :returns: a logger for ``%s`` style lazy messages.
    """
    return PartLogger(absl_logging.get_absl_logger(), {'part': part})


def log_event(part: str, sentence: str, **fields: Any) -> None:
    """Log one decision as a sentence and its inputs.

    :param part: the part that decided.
    :param sentence: what happened, fixed for each kind of decision.
    :param fields: the request's id, the inputs, their age, the outcome.
    """
    absl_logging.get_absl_logger().info(
        f'{part}: {sentence}',
        extra={'fields': fields},
    )


def log_fault(part: str, sentence: str, **fields: Any) -> None:
    """Log what an operator has to mend; no level of the settings hides it.

    :param part: the part that found it.
    :param sentence: what happened, fixed for each kind of fault.
    :param fields: what tells the fault.
    """
    absl_logging.get_absl_logger().error(
        f'{part}: {sentence}',
        extra={'fields': fields},
    )


def configure_logging(level: str) -> None:
    """Send log lines to standard error from a level upward.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    """
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(level)
    absl_logging.set_stderrthreshold(level)


def configure_json_logging(level: str, process: str) -> JsonLineHandler:
    """Send log lines to standard output as JSON, a line each.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param process: name of this process, in each line.
    :returns: the handler, to flush what it still holds.
    """
    logger = absl_logging.get_absl_logger()
    lines = _find_json_handler(logger) or JsonLineHandler()
    lines.rename(process)
    logger.handlers = [lines]
    logger.propagate = False
    set_log_level(level)
    return lines


def set_log_level(level: str) -> None:
    """Change the lowest level that is logged.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    """
    absl_logging.set_verbosity(level)


def log_uncaught_exceptions() -> None:
    """Log exceptions that no greenlet catches in place of printing them.

    The error output may have no reader, or one that has stopped reading.
    """
    gevent.get_hub().print_exception = _log_uncaught


def _log_uncaught(
    context: Any,
    kind: type[BaseException],
    error: BaseException | None,
    trace: TracebackType | None,
) -> None:
    absl_logging.get_absl_logger().error(
        'greenlet: An exception was not caught.',
        exc_info=(kind, error or kind(), trace),
        extra={'fields': {'context': _describe(context)}},
    )


def _describe(context: Any) -> str:
    # The caller is gevent's loop, which an exception would end.
    try:
        return repr(context)[:_MAX_CONTEXT]
    except Exception:
        return type(context).__name__


def _find_json_handler(logger: logging.Logger) -> JsonLineHandler | None:
    for used in logger.handlers:
        if isinstance(used, JsonLineHandler):
            return used
    return None
