"""An endpoint: a model engine or a plain service behind an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, final

from returns.result import Result, Success

if TYPE_CHECKING:
    from collections.abc import Mapping


@final
class Endpoint:
    """Where an endpoint is and what it can serve."""

    __slots__ = (
        'host',
        'labels',
        'models',
        'name',
        'port',
        'service',
        'vm',
        'zone',
    )

    def __init__(
        self,
        *,
        name: str,
        labels: Mapping[str, str],
        host: str,
        port: int,
        zone: str,
        service: str | None,
        models: frozenset[str],
        vm: str = '',
    ) -> None:
        """Describe an endpoint.

        :param name: name of the object.
        :param labels: its labels.
        :param host: IP number of its agent.
        :param port: port of its agent.
        :param zone: its availability zone.
        :param service: name of the plain service, None for an engine.
        :param models: models that an engine serves.
        :param vm: name of its VM in the platform's list, if it is known.
        """
        self.name = name
        self.labels = labels
        self.host = host
        self.port = port
        self.zone = zone
        self.service = service
        self.models = models
        self.vm = vm


def parse_endpoint(
    name: str,
    labels: Mapping[str, str],
    spec: Mapping[str, Any],
) -> Result[Endpoint, str]:
    """Make an endpoint from an object that met its schema.

    :param name: name of the object.
    :param labels: labels of the object.
    :param spec: its ``spec``.
    :returns: the endpoint.
    """
    host, _colon, port = spec['address'].rpartition(':')
    service = None
    if spec['type'] == 'service':
        service = spec.get('service', name)
    return Success(
        Endpoint(
            name=name,
            labels=labels,
            host=host.strip('[]'),
            port=int(port),
            zone=spec['zone'],
            service=service,
            models=frozenset(spec.get('models', ())),
            vm=spec.get('vm', ''),
        ),
    )
