"""Sound answers that are long or come in many pieces."""

from __future__ import annotations

from standins.long_answer import LONG
from tests.gateway_site import GatewaySite
from tests.test_endless_answers import count_given_up, inject_once
from tests.test_gateway_streams import PROMPT


def expected_body(kind: str) -> bytes:
    """Return the body of a long answer."""
    _headers, pieces = LONG[kind]
    return ''.join(pieces).encode()


def test_plain_answer_in_many_short_pieces_is_passed_on(
    gateway_site: GatewaySite,
):
    # It was refused after 16,384 pieces, some 330 KB.
    gateway_site.add_server('one')
    gateway_site.add_gateway()
    inject_once(gateway_site, 'short_pieces')
    answer = gateway_site.ask('/patient/x')
    assert answer.status == 200
    assert answer.body == expected_body('short_pieces')
    assert not count_given_up(gateway_site)


def test_long_event_is_passed_on(gateway_site: GatewaySite):
    # It was refused after 64 KB.
    gateway_site.add_server('one', 'engines')
    gateway_site.add_gateway()
    inject_once(gateway_site, 'long_event')
    answer = gateway_site.ask('/stream/x', method='POST', **PROMPT)
    assert answer.whole
    assert answer.body == expected_body('long_event')
    assert not count_given_up(gateway_site)
    endless = gateway_site.gateways[0]._state.ends.endless
    assert endless.memory.reserved_bytes == 0
