"""Requests of the method HEAD, whose answers have no body."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.gateway_site import GatewaySite


def test_refusal_of_a_head_request_is_answered(gateway_site: GatewaySite):
    gateway_site.add_server('one')
    gateway_site.add_gateway()
    answer = gateway_site.ask('/none/x', method='HEAD')
    assert answer.status == 404
    assert answer.whole
    assert not answer.body
