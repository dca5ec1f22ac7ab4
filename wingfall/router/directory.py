"""The links to all agents that the configuration names."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Callable, final

from wingfall.log import part_logger
from wingfall.router.homes import Home, find_home, members_by_endpoint
from wingfall.router.link import AgentLink

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.config.copy import ConfigCopy
    from wingfall.objects.endpoint import Endpoint
    from wingfall.router.request import Request
    from wingfall.supervisor import Supervisor

_SAMPLE = 24
_ENOUGH = 8

logger = part_logger('router.directory')


@final
class Directory:
    """Opens and closes links as endpoints come and go."""

    __slots__ = (
        '_copy',
        '_eligible',
        '_links',
        '_make_link',
        '_random',
        '_supervisor',
    )

    def __init__(
        self,
        *,
        copy: ConfigCopy,
        supervisor: Supervisor,
        make_link: Callable[[Endpoint], AgentLink],
    ) -> None:
        """Follow a copy of the configuration.

        :param copy: the configuration.
        :param supervisor: keeps the links.
        :param make_link: makes a link to an endpoint's agent.
        """
        self._copy = copy
        self._supervisor = supervisor
        self._make_link = make_link
        self._links: dict[str, AgentLink] = {}
        # Links by class and resource, as far as they were asked for.
        self._eligible: dict[str, list[AgentLink]] = {}
        self._random = random.Random()  # noqa: S311
        copy.listen(self._follow)

    @property
    def links(self) -> dict[str, AgentLink]:
        """All links by name of the endpoint."""
        return self._links

    def usable(
        self,
        request: Request,
        tried: set[str],
        wanted: Iterable[str] = (),
    ) -> list[AgentLink]:
        """List links that can take a request now.

        Of many, a random sample is looked at first, so that the cost of a
        decision doesn't grow with the site.

        :param request: the request.
        :param tried: endpoints that have refused it.
        :param wanted: endpoints to look at in any case.
        :returns: the links, empty only if there is none.
        """
        eligible = self._find_eligible(request)
        if len(eligible) > _SAMPLE:
            sampled = self._random.sample(eligible, _SAMPLE)
            sampled.extend(
                link
                for link in map(self._links.get, wanted)
                if link is not None
                and link not in sampled
                and not request.why_not(link.endpoint)
            )
            usable = _usable(sampled, tried)
            if len(usable) > _ENOUGH:
                return usable
        return _usable(eligible, tried)

    def note_leaving(self, vms: set[str]) -> None:
        """Take which VMs are leaving by the platform's list.

        :param vms: their names.
        """
        for link in self._links.values():
            link.vm_leaving = link.endpoint.vm in vms

    def home(self, request: Request) -> Home:
        """Find the home of a request's idempotency key.

        :param request: the request.
        :returns: the home.
        """
        return find_home(
            request.key,
            [link.endpoint.name for link in self._find_eligible(request)],
        )

    def configured(self, request: Request) -> bool:
        """Tell whether any endpoint may serve a request, up or not.

        :param request: the request.
        :returns: whether there is one.
        """
        return bool(self._find_eligible(request))

    def _find_eligible(self, request: Request) -> list[AgentLink]:
        eligible = self._eligible.get(request.home_name)
        if eligible is None:
            eligible = [
                link
                for link in self._links.values()
                if not request.why_not(link.endpoint)
            ]
            if eligible:
                # Callers can name any model; only real ones are kept.
                self._eligible[request.home_name] = eligible
        return eligible

    def _follow(self) -> None:
        self._eligible.clear()
        wanted = {endpoint.name: endpoint for endpoint in self._copy.endpoints}
        for name, link in list(self._links.items()):
            if not _same_place(link.endpoint, wanted.get(name)):
                self._links.pop(name).stop()
        for name, endpoint in wanted.items():
            if name in self._links:
                self._links[name].endpoint = endpoint
            else:
                self._open(endpoint)
        told = members_by_endpoint(self._copy)
        for name, link in self._links.items():
            link.tell_homes(told.get(name, {}))

    def _open(self, endpoint: Endpoint) -> None:
        link = self._make_link(endpoint)
        self._links[endpoint.name] = link
        self._supervisor.start(f'link {endpoint.name}', link.run)
        logger.info('Endpoint %s was added.', endpoint.name)


def _usable(links: list[AgentLink], tried: set[str]) -> list[AgentLink]:
    return [
        link
        for link in links
        if link.usable and link.endpoint.name not in tried
    ]


def _same_place(known: Endpoint, wanted: Endpoint | None) -> bool:
    if wanted is None:
        return False
    return (known.host, known.port) == (wanted.host, wanted.port)
