"""A site whose routers, agents and stand-ins run in the test's process."""

from __future__ import annotations

from typing import Any, Final, final

import orjson
import urllib3
import yaml
from gevent.event import Event
from returns.result import Success

from standins.engine import EngineStandIn
from standins.plain_service import ServiceStandIn
from standins.platform import PlatformStandIn
from standins.serving import start_server
from wingfall.agent.application import AgentApplication
from wingfall.objects.customer import hash_key
from wingfall.router.application import RouterApplication
from wingfall.settings.loader import parse_settings
from wingfall.settings.schema import AGENT_SCHEMA, ROUTER_SCHEMA

HOST: Final = '127.0.0.1'
SECRET: Final = b'a secret of the tests'
KEY: Final = 'key-of-oslo'
_WAIT_S: Final = 20
_POLL_S: Final = 0.005
_LISTEN: Final = {'host': HOST, 'port': 0}


@final
class LocalSite:
    """One platform, and what a test adds to it."""

    def __init__(self) -> None:
        """Start the platform with a customer."""
        self.platform = PlatformStandIn()
        self._servers = [start_server(self.platform.app)]
        self.platform_url = f'http://{HOST}:{self._servers[0].port}'
        self.routers: list[RouterApplication] = []
        self.agents: dict[str, AgentApplication] = {}
        self.engines: dict[str, EngineStandIn] = {}
        self.services: dict[str, ServiceStandIn] = {}
        self.http = urllib3.PoolManager(retries=False, maxsize=50)
        self.put('Customer', 'oslo', key_hashes=[hash_key(KEY)])

    def put(self, kind: str, name: str, **spec: Any) -> None:
        """Write an object.

        :param kind: its kind.
        :param name: its name.
        :param spec: its spec; ``labels`` go to the metadata.
        """
        metadata: dict[str, Any] = {
            'name': name,
            'labels': spec.pop('labels', {}),
        }
        held = self.platform.objects.get((kind, name))
        if held:
            version = held['metadata']['resourceVersion']
            metadata['resourceVersion'] = version
        status, _stored = self.platform.put(
            {'kind': kind, 'metadata': metadata, 'spec': spec},
        )
        assert status == 200

    def add_class(self, name: str, **spec: Any) -> None:
        """Declare a class.

        :param name: its name.
        :param spec: fields that differ from a plain class.
        """
        plain = {'tier': 1, 'timeout_ms': 10_000}
        self.put('RequestClass', name, **{**plain, **spec})

    def add_engine(
        self,
        name: str,
        *,
        port: int | None = None,
        agent: dict[str, Any] | None = None,
        **engine: float,
    ) -> None:
        """Start an engine with its agent, and declare the endpoint.

        :param name: its name.
        :param port: port to declare in place of the agent's own.
        :param agent: settings of the agent by section.
        :param engine: options of the stand-in.
        """
        options = {'capacity': 8, 'token_ms': 1, 'prefill_ms': 1, **engine}
        standin = EngineStandIn(**options)
        self.engines[name] = standin
        self._add_agent(name, standin.app, agent or {})
        self._declare(name, port, type='engine', models=['m'])

    def add_service(self, name: str, *, port: int | None = None) -> None:
        """Start a plain service with its agent, and declare the endpoint.

        :param name: its name.
        :param port: port to declare in place of the agent's own.
        """
        standin = ServiceStandIn()
        self.services[name] = standin
        self._add_agent(name, standin.app, {})
        self._declare(name, port, type='service', service='seats')

    def add_router(
        self,
        *,
        wait: bool = True,
        **sections: dict[str, Any],
    ) -> RouterApplication:
        """Start a router; wait until it has the configuration and its links.

        :param wait: whether to wait.
        :param sections: settings that differ, by section.
        :returns: the router.
        """
        platform = sections.setdefault('platform', {})
        platform.setdefault('url', self.platform_url)
        router = RouterApplication(
            settings=make_settings(
                ROUTER_SCHEMA,
                name=f'router-{len(self.routers)}',
                callers=_LISTEN,
                **sections,
            ),
            secret=SECRET,
        )
        router.start()
        self.routers.append(router)
        if wait:
            self.wait_configured(router)
            self.wait_links(router)
        return router

    def wait_configured(self, router: RouterApplication) -> None:
        """Wait until all that the platform holds is in force at a router.

        A site without endpoints has no links that could be waited for.

        :param router: the router.
        """
        wait_until(lambda: router.copy.version >= self.platform.version)

    def wait_links(self, router: RouterApplication) -> None:
        """Wait until a router can use all declared endpoints.

        :param router: the router.
        """
        wait_until(
            lambda: (
                len(router.directory.links) == len(self.agents)
                and all(link.usable for link in router.directory.links.values())
            ),
        )

    def ask(
        self,
        router: RouterApplication,
        path: str = '/v1/chat/completions',
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        method: str = 'POST',
        **payload: Any,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request; its body is read by the test.

        :param router: where to.
        :param path: path and query.
        :param body: raw body in place of the payload.
        :param headers: headers that differ.
        :param method: HTTP method.
        :param payload: fields of the body.
        :returns: the response.
        """
        sent = {'model': 'm', 'messages': [], **payload}
        return self.http.request(
            method,
            f'http://{HOST}:{router.port}{path}',
            body=orjson.dumps(sent) if body is None else body,
            headers={'Authorization': f'Bearer {KEY}', **(headers or {})},
            preload_content=False,
        )

    def runs(self) -> list[Any]:
        """List all generations of all engines.

        :returns: the runs.
        """
        listed: list[Any] = []
        for engine in self.engines.values():
            for runs in engine.streams.values():
                listed.extend(runs)
        return listed

    def close(self) -> None:
        """End everything."""
        for program in (*self.routers, *self.agents.values()):
            program.close()
        for server in self._servers:
            server.stop()

    def _add_agent(self, name: str, app: Any, sections: dict[str, Any]) -> None:
        server = start_server(app)
        self._servers.append(server)
        endpoint = {'url': f'http://{HOST}:{server.port}'}
        endpoint.update(sections.pop('endpoint', {}))
        agent = AgentApplication(
            settings=make_settings(
                AGENT_SCHEMA,
                name=name,
                listen=_LISTEN,
                endpoint=endpoint,
                **sections,
            ),
            secret=SECRET,
        )
        agent.start()
        self.agents[name] = agent

    def _declare(self, name: str, port: int | None, **spec: Any) -> None:
        place = port or self.agents[name].port
        self.put(
            'Endpoint',
            name,
            address=f'{HOST}:{place}',
            zone='local',
            **spec,
        )


def make_settings(schema: dict[str, Any], **sections: Any) -> Any:
    """Make checked settings.

    :param schema: the schema of the program.
    :param sections: the settings that differ from the defaults.
    :returns: the settings.
    """
    text = yaml.safe_dump(
        {
            'zone': 'local',
            'secret_path': 'unused',
            'admin': _LISTEN,
            **sections,
        }
    )
    parsed = parse_settings('test.yaml', text, schema)
    assert isinstance(parsed, Success), list(map(str, parsed.failure()))
    return parsed.unwrap()


def wait_until(condition: Any) -> None:
    """Wait until a condition holds, within a generous bound.

    :param condition: a function that becomes true.
    """
    for _turn in range(int(_WAIT_S / _POLL_S)):
        if condition():
            return
        Event().wait(_POLL_S)
    raise TimeoutError('the condition did not come to hold')
