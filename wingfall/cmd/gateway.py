"""``wingfall gateway``: a router for endpoints that have no agent."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import gevent
from returns.result import Success

from wingfall.cmd.daemon import print_faults
from wingfall.gateway.application import GatewayApplication
from wingfall.log import configure_json_logging, log_event
from wingfall.settings.gateway_schema import GATEWAY_SCHEMA
from wingfall.settings.loader import load_settings

if TYPE_CHECKING:
    from types import SimpleNamespace

_EXIT_REFUSED = 1


def run(*, settings: str) -> int:
    """Run a gateway until its planned stop.

    :param settings: the settings file.
    :returns: the exit code.
    """
    loaded = load_settings(settings, GATEWAY_SCHEMA)
    if not isinstance(loaded, Success):
        return print_faults(loaded.failure())
    checked: SimpleNamespace = loaded.unwrap()
    configure_json_logging(checked.log_level)
    try:
        gateway = GatewayApplication(settings=checked)
    except OSError as error:
        log_event('gateway', 'Can not listen.', error=str(error))
        return _EXIT_REFUSED
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, gateway.stop)
    gevent.signal_handler(signal.SIGHUP, lambda: _reload(settings))
    gateway.run()
    return 0


def _reload(path: str) -> None:
    loaded = load_settings(path, GATEWAY_SCHEMA)
    if not isinstance(loaded, Success):
        faults = [str(fault) for fault in loaded.failure()]
        log_event('gateway', 'The reload was refused.', faults=faults)
        return
    configure_json_logging(loaded.unwrap().log_level)
    log_event('gateway', 'Reloaded.', settings=path)
