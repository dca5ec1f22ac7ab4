"""``wingfall gateway``: a router for endpoints that have no agent."""

from __future__ import annotations

import functools
import signal
from typing import TYPE_CHECKING

from wingfall.cmd.faults import EXIT_FAULT, EXIT_USAGE
from wingfall.cmd.gateway_settings import load_gateway_settings
from wingfall.cmd.settings_wait import wait_for_settings
from wingfall.descriptor_limit import raise_descriptor_limit
from wingfall.gateway.application import GatewayApplication
from wingfall.log import (
    START_LOG_LEVEL,
    configure_json_logging,
    log_event,
    log_uncaught_exceptions,
    part_logger,
    set_log_level,
)
from wingfall.settings.watcher import SettingsWatcher, read_stamp
from wingfall.signals import handle_signal, note_log_signals
from wingfall.unused_signals import ignore_unused_signals

if TYPE_CHECKING:
    import socket
    from types import SimpleNamespace

logger = part_logger('gateway')


def run(*, settings: str) -> int:
    """Run a gateway until its planned stop.

    :param settings: the settings file.
    :returns: the exit code.
    """
    ignore_unused_signals()
    configure_json_logging(START_LOG_LEVEL, '')
    return run_gateway(settings, None)


def run_gateway(path: str, listener: socket.socket | None) -> int:
    """Run a gateway, on a socket that listens already if there is one.

    :param path: the settings file.
    :param listener: listens for callers, None to bind it here.
    :returns: the exit code.
    """
    seen = read_stamp(path)
    checked = wait_for_settings(functools.partial(load_gateway_settings, path))
    if checked is None:
        return EXIT_USAGE
    configure_json_logging(checked.log_level, checked.name)
    log_uncaught_exceptions()
    _log_absent_fields(checked)
    raise_descriptor_limit()
    try:
        gateway = GatewayApplication(settings=checked, listener=listener)
        watcher = SettingsWatcher(
            path=path,
            seen=seen,
            load=load_gateway_settings,
            take=functools.partial(_take_settings, gateway),
        )
        _serve(gateway, watcher)
    except Exception:
        logger.exception('The process ends by a fault of the program.')
        return EXIT_FAULT
    return 0


def _serve(gateway: GatewayApplication, watcher: SettingsWatcher) -> None:
    for number in (signal.SIGTERM, signal.SIGINT):
        handle_signal(number, gateway.stop)
    handle_signal(signal.SIGHUP, watcher.reload)
    note_log_signals()
    gateway.supervise('settings', watcher.run)
    gateway.run()


def _take_settings(
    gateway: GatewayApplication,
    settings: SimpleNamespace,
) -> None:
    gateway.reload(settings)
    set_log_level(settings.log_level)
    _log_absent_fields(settings)


def _log_absent_fields(settings: SimpleNamespace) -> None:
    if settings.absent_fields:
        log_event(
            'settings',
            'Fields without a value have their defaults.',
            fields=settings.absent_fields,
        )
