"""The platform's entries of endpoints, read by their schema.

Endpoints write their entries themselves, and so may others: what does not fit
names no endpoint. Only fields that are used must be there; those that are not
must be of their type if they are, since else the entry is another writer's.
"""

from __future__ import annotations

import functools
import re
from typing import TYPE_CHECKING, Any, Final

from returns.result import Failure, Success

from wingfall.address import parse_destination
from wingfall.errors import ObjectFault
from wingfall.gateway.model.pool_endpoint import PoolEndpoint
from wingfall.platform.schema_check import SchemaCheck

if TYPE_CHECKING:
    from returns.result import Result

    from wingfall.address import Address

_DRAINING: Final = 'draining'
# What a value of an HTTP header can be: printable ASCII characters, none of
# them white space at an end.
_NAME: Final = re.compile('[!-~](?:[ -~]*[!-~])?')
# Characters of a name that a reason shows.
_MAX_SHOWN: Final = 60
_TEXT: Final = {'type': 'string', 'minLength': 1}
_ENTRY: Final = SchemaCheck(
    schema={
        'type': 'object',
        'required': ['service', 'address', 'zone', 'slots', 'state'],
        'properties': {
            'service': _TEXT,
            'address': {'type': 'string'},
            'zone': _TEXT,
            'slots': {'type': 'integer', 'minimum': 1},
            'state': {'enum': ['ready', _DRAINING]},
            # Unix milliseconds of the endpoint's start.
            'born': {'type': 'integer', 'minimum': 0},
            'version': {'type': 'string'},
            'seq_no': {'type': 'integer'},
            'cold_left_ms': {'type': 'number', 'minimum': 0},
        },
    },
)


def read_endpoint(
    name: str,
    spec: Any,
) -> Result[PoolEndpoint, ObjectFault]:
    """Read an endpoint.

    :param name: its id.
    :param spec: what the stored object says.
    :returns: the endpoint, or what is wrong with the entry.
    """
    if not _NAME.fullmatch(name):
        shown = repr(name[:_MAX_SHOWN])
        return Failure(_make_fault('name', f'{shown} fits in no header'))
    checked = _ENTRY.find_fault(spec)
    if not isinstance(checked, Success):
        return checked
    return (
        parse_destination(checked.unwrap()['address'])
        .alt(functools.partial(_make_fault, 'address'))
        .map(functools.partial(_make, name, spec))
    )


def _make_fault(field: str, reason: str) -> ObjectFault:
    return ObjectFault(field=field, reason=reason)


def _make(name: str, spec: dict[str, Any], address: Address) -> PoolEndpoint:
    born = spec.get('born')
    return PoolEndpoint(
        name=name if born is None else f'{name}@{int(born)}',
        instance=name,
        pool=spec['service'],
        host=address.host,
        port=address.port,
        zone=spec['zone'],
        slots=int(spec['slots']),
        draining=spec['state'] == _DRAINING,
        born_ms=None if born is None else int(born),
        # An empty text names no version.
        version=spec.get('version') or None,
    )
