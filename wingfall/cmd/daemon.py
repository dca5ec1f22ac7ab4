"""What the two daemons share: settings, secret, log and signals."""

from __future__ import annotations

import functools
import pathlib
import signal
from typing import TYPE_CHECKING, Any, Callable, Protocol

from returns.result import Failure, Result, Success

from wingfall.cmd.faults import EXIT_FAULT, EXIT_USAGE, print_start_faults
from wingfall.cmd.settings_wait import wait_for_settings
from wingfall.descriptor_limit import raise_descriptor_limit
from wingfall.errors import FieldFault
from wingfall.log import configure_logging, part_logger
from wingfall.settings.loader import load_settings
from wingfall.signals import handle_signal, note_log_signals
from wingfall.unused_signals import ignore_unused_signals

if TYPE_CHECKING:
    from types import SimpleNamespace

_MIN_SECRET_BYTES = 16

logger = part_logger('daemon')


class Daemon(Protocol):
    """A program that serves until it is told to stop."""

    def run(self) -> None:
        """Serve."""

    def stop(self) -> None:
        """Ask for a planned stop."""


class DaemonFactory(Protocol):
    """How a daemon is made."""

    def __call__(self, *, settings: SimpleNamespace, secret: bytes) -> Daemon:
        """Make the daemon from checked settings."""


def run_daemon(
    path: str,
    schema: dict[str, Any],
    check_policy: Callable[[SimpleNamespace], Result[Any, str]],
    factory: DaemonFactory,
) -> int:
    """Run a daemon to its planned stop.

    :param path: the settings file.
    :param schema: its schema.
    :param check_policy: checks the policies that the settings name.
    :param factory: makes the daemon.
    :returns: the exit code.
    """
    ignore_unused_signals()
    settings = wait_for_settings(functools.partial(load_settings, path, schema))
    if settings is None:
        return EXIT_USAGE
    policy = check_policy(settings)
    if not isinstance(policy, Success):
        return print_start_faults([_fault(path, 'policy', policy.failure())])
    secret = _read_secret(path, settings.secret_path)
    if not isinstance(secret, Success):
        return print_start_faults([secret.failure()])
    configure_logging(settings.log_level)
    raise_descriptor_limit()
    try:
        _serve(factory(settings=settings, secret=secret.unwrap()))
    except Exception:
        logger.exception('The process ends by a fault of the program.')
        return EXIT_FAULT
    return 0


def _serve(daemon: Daemon) -> None:
    for number in (signal.SIGTERM, signal.SIGINT):
        handle_signal(number, daemon.stop)
    handle_signal(signal.SIGHUP, _note_hangup)
    note_log_signals()
    daemon.run()


def _note_hangup() -> None:
    logger.warning('SIGHUP is ignored: settings are read at a start only.')


def _read_secret(path: str, secret_path: str) -> Result[bytes, FieldFault]:
    try:
        secret = pathlib.Path(secret_path).read_bytes().strip()
    except OSError as error:
        reason = f"{secret_path} can't be read: {error.strerror}"
        return Failure(_fault(path, 'secret_path', reason))
    if len(secret) < _MIN_SECRET_BYTES:
        reason = f'the secret has fewer than {_MIN_SECRET_BYTES} bytes'
        return Failure(_fault(path, 'secret_path', reason))
    return Success(secret)


def _fault(path: str, field: str, reason: str) -> FieldFault:
    return FieldFault(source=path, line=1, field=field, reason=reason)
