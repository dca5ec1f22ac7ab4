"""A request class: a service level and a priority for some traffic."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

from returns.result import Failure, Result, Success

from wingfall.objects.selector import Selector, parse_selector

if TYPE_CHECKING:
    from collections.abc import Mapping

_DEFAULT_SHARE: Final = 0.02
_DEFAULT_PRIVATE: Final = 2


@final
class Target:
    """What on time means for a class; None for what is not measured."""

    __slots__ = ('complete_ms', 'first_token_ms', 'token_gap_ms')

    def __init__(
        self,
        *,
        first_token_ms: int | None = None,
        token_gap_ms: int | None = None,
        complete_ms: int | None = None,
    ) -> None:
        """Set the target.

        :param first_token_ms: longest time to the first token.
        :param token_gap_ms: longest mean time between tokens.
        :param complete_ms: longest time to the whole answer.
        """
        self.first_token_ms = first_token_ms
        self.token_gap_ms = token_gap_ms
        self.complete_ms = complete_ms


@final
class RequestClass:
    """The terms under which the requests of a class are served."""

    __slots__ = (
        'endpoints',
        'name',
        'private',
        'repeatable',
        'requests',
        'share',
        'target',
        'tier',
        'timeout_ms',
        'worth',
    )

    def __init__(
        self,
        *,
        name: str,
        tier: int,
        requests: Selector,
        endpoints: Selector,
        target: Target,
        timeout_ms: int,
        worth: float,
        share: float,
        repeatable: bool,
        private: int,
    ) -> None:
        """Describe a class.

        :param name: name of the object.
        :param tier: priority, 0 is the highest.
        :param requests: what request and customer labels must say.
        :param endpoints: what the labels of a usable endpoint must say.
        :param target: what on time means.
        :param timeout_ms: when a caller is answered at the latest.
        :param worth: what one good answer counts.
        :param share: guaranteed share of the starts, 0 to 1.
        :param repeatable: whether a second run does no harm.
        :param private: waiting places that no other class can take.
        """
        self.name = name
        self.tier = tier
        self.requests = requests
        self.endpoints = endpoints
        self.target = target
        self.timeout_ms = timeout_ms
        self.worth = worth
        self.share = share
        self.repeatable = repeatable
        self.private = private


def parse_request_class(
    name: str,
    labels: Mapping[str, str],
    spec: Mapping[str, Any],
) -> Result[RequestClass, str]:
    """Make a class from an object that met its schema.

    :param name: name of the object.
    :param labels: labels of the object, which a class doesn't use.
    :param spec: its ``spec``.
    :returns: the class, or what is wrong with a selector.
    """
    requests = parse_selector(spec.get('requests', ''))
    endpoints = parse_selector(spec.get('endpoints', ''))
    for field, parsed in (('requests', requests), ('endpoints', endpoints)):
        if not isinstance(parsed, Success):
            return Failure(f'spec.{field}: {parsed.failure()}')
    return Success(
        RequestClass(
            name=name,
            tier=spec['tier'],
            requests=requests.unwrap(),
            endpoints=endpoints.unwrap(),
            target=Target(**spec.get('target', {})),
            timeout_ms=spec['timeout_ms'],
            worth=spec.get('worth', 1),
            share=spec.get('share', _DEFAULT_SHARE),
            repeatable=spec.get('repeatable', True),
            private=spec.get('queue', {}).get('private', _DEFAULT_PRIVATE),
        ),
    )
