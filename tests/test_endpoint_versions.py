"""Software versions of endpoints, as their entries name them."""

from __future__ import annotations

from typing import Any

import pytest

from tests.gateway_site import GatewaySite, known_endpoints
from tests.local_site import wait_until
from tests.test_compatibility import collected_lines
from wingfall.platform.endpoint_entry import read_endpoint

ENTRY = {
    'service': 'engines',
    'address': '10.0.0.9:8000',
    'zone': 'osl-a',
    'slots': 8,
    'state': 'ready',
}


@pytest.mark.parametrize(
    ('told', 'version'),
    [
        ({'version': 'v1.2'}, 'v1.2'),
        ({'version': ''}, None),
        ({}, None),
    ],
)
def test_version_is_read_from_an_entry(
    told: dict[str, Any], version: str | None
):
    endpoint = read_endpoint('i-1', {**ENTRY, **told}).unwrap()
    assert endpoint.version == version


def test_attempt_logs_version_and_resumed_stream(gateway_site: GatewaySite):
    gateway_site.add_server('e1', 'engines')
    gateway = gateway_site.add_gateway()
    wait_until(lambda: known_endpoints(gateway).find('e1') is not None)
    prompt = {'method': 'POST', 'X_Token_Count': '300,40'}
    gateway_site.ask('/stream/x', X_Attempt_Id='a0', **prompt)
    with collected_lines() as lines:
        gateway_site.ask('/stream/x', Last_Event_Id='1', Resumes='a0', **prompt)
        wait_until(lambda: any('attempt' in fields for _, fields in lines))
    (fields,) = [fields for _, fields in lines if 'attempt' in fields]
    assert fields['version'] == 'v1'
    assert fields['after_event'] == '1'
    assert fields['resumes'] == 'a0'
