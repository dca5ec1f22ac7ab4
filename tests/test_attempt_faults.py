"""Exceptions of one endpoint's attempt, which others can serve instead."""

from __future__ import annotations

import contextlib
import logging
from typing import TYPE_CHECKING, Any

import pytest
from absl import logging as absl_logging

from wingfall.gateway.endpoints import connection_cache

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.gateway_site import GatewaySite


@contextlib.contextmanager
def collected_lines(sentence: str) -> Iterator[list[dict[str, Any]]]:
    """Collect the fields of each line of the log with a sentence."""
    collected: list[dict[str, Any]] = []
    collector = logging.Handler()

    def keep(line: logging.LogRecord) -> None:
        if line.getMessage() == sentence:
            collected.append(getattr(line, 'fields', {}))

    collector.emit = keep
    logger = absl_logging.get_absl_logger()
    level = logger.level
    logger.addHandler(collector)
    logger.setLevel(logging.INFO)
    yield collected
    logger.setLevel(level)
    logger.removeHandler(collector)


def raise_fault(*_arguments: Any, **_options: Any) -> None:
    """Fail as no attempt expects it."""
    raise ZeroDivisionError('an odd endpoint')


def test_line_of_an_attempt_names_its_exception(
    gateway_site: GatewaySite, monkeypatch: pytest.MonkeyPatch
):
    gateway_site.add_server('one')
    gateway_site.add_gateway()
    monkeypatch.setattr(connection_cache, 'connect', raise_fault)
    with collected_lines('dispatch: An attempt ended.') as lines:
        gateway_site.ask('/safe/x')
    assert 'an odd endpoint' in lines[0]['reason']


def test_line_of_a_listed_endpoint_has_its_address(gateway_site: GatewaySite):
    server = gateway_site.add_server('one')
    with collected_lines('endpoints: The list has an endpoint.') as lines:
        gateway_site.add_gateway()
    assert lines[0]['address'] == server.address
