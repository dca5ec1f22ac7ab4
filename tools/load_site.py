"""The processes of a load run: four uneven engines, a service, two routers."""

from __future__ import annotations

import hashlib
from typing import Any, Final, final

from tools.fleet import HOST, Fleet, Process
from tools.traffic import PROFILES

CUSTOMERS: Final = ('large', 'middle', 'small')

_ENGINES: Final = (
    # Slots, milliseconds a token, prefill.
    (8, 10, 30),
    (8, 10, 30),
    (4, 15, 40),
    (3, 20, 60),
)
_OVERLAP: Final = 0.85
_CACHE_BLOCKS: Final = 800
_US: Final = 1000


@final
class Policy:
    """Settings of routers and agents that are compared."""

    __slots__ = ('agent', 'name', 'router')

    def __init__(
        self,
        *,
        name: str,
        router: dict[str, Any],
        agent: dict[str, Any],
    ) -> None:
        """Name a policy.

        :param name: its name in the table.
        :param router: ``policy`` of the routers.
        :param agent: ``policy`` of the agents.
        """
        self.name = name
        self.router = router
        self.agent = agent


_FIFO: Final = {'order': 'fifo', 'limit': 'fixed'}
POLICIES: Final = (
    Policy(name='wingfall', router={}, agent={}),
    Policy(
        name='round_robin+fifo',
        router={'choice': 'round_robin', 'offers': 1},
        agent=_FIFO,
    ),
    Policy(
        name='least_reported+fifo',
        router={'choice': 'least_reported_load', 'offers': 1},
        agent=_FIFO,
    ),
)


@final
class LoadSite:
    """The processes of one run."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        policy: Policy,
        profile: str,
        without: int,
        slow: int,
        block_ms: float,
    ) -> None:
        """Start everything.

        :param fleet: where the processes are kept.
        :param policy: the policy.
        :param profile: name of the traffic.
        :param without: engine that is left out, or -1.
        :param slow: engine at a third of its pace, or -1.
        :param block_ms: time of an engine for a block that isn't cached.
        """
        self._block_ms = block_ms
        self._fleet = fleet
        self._policy = policy
        self.platform = fleet.start_standin('platform', 'platform')
        self.engines: list[Process] = []
        self.agents: list[Process] = []
        self._write_objects(profile)
        for number, engine in enumerate(_ENGINES):
            if number != without:
                self._start_engine(f'engine-{number}', engine)
        self.service = fleet.start_standin('service', 'plain_service')
        self._start_agent('service', self.service, 64, type='service')
        self.routers = [
            fleet.start_router(name, self.platform, policy=policy.router)
            for name in ('router-a', 'router-b')
        ]
        for router in self.routers:
            fleet.wait_links(router, len(self.agents))
        if slow >= 0:
            url = self.engines[slow].url
            fleet.post_json(f'{url}/script', {'pace': 3})

    def runs(self) -> dict[str, list[dict[str, Any]]]:
        """Join the ledgers.

        :returns: runs by request id.
        """
        joined: dict[str, list[dict[str, Any]]] = {}
        for endpoint in (*self.engines, self.service):
            ledger = self._fleet.get_json(f'{endpoint.url}/ledger')
            for request_id, runs in ledger.items():
                joined.setdefault(request_id, []).extend(runs)
        return joined

    def inversions(self) -> int:
        """Count requests shed while one of a lower tier was kept.

        :returns: the sum over all agents.
        """
        return sum(
            self._fleet.get_json(f'{agent.admin_url}/status')['inversions']
            for agent in self.agents
        )

    def blocks_made(self) -> int:
        """Count the prompt blocks that engines had to work out.

        :returns: the sum over all engines.
        """
        return sum(
            self._fleet.get_json(f'{engine.url}/blocks')
            for engine in self.engines
        )

    def _write_objects(self, profile: str) -> None:
        for traffic in PROFILES[profile]:
            self._fleet.put_object(self.platform, traffic.to_object())
        for name in CUSTOMERS:
            digest = hashlib.sha256(customer_key(name).encode()).hexdigest()
            self._put('Customer', name, key_hashes=[digest])

    def _start_engine(self, name: str, engine: tuple[int, int, int]) -> None:
        slots, token_ms, prefill_ms = engine
        process = self._fleet.start_standin(
            name,
            'engine',
            f'--capacity={slots}',
            f'--token-ms={token_ms}',
            f'--prefill-ms={prefill_ms}',
            f'--block-ms={self._block_ms}',
            f'--cache-blocks={_CACHE_BLOCKS}',
        )
        self.engines.append(process)
        self._start_agent(name, process, slots, type='engine', models=['m'])

    def _start_agent(
        self,
        name: str,
        endpoint: Process,
        slots: int,
        **spec: Any,
    ) -> None:
        agent = self._fleet.start_agent(
            name,
            endpoint,
            endpoint={'slots': slots},
            policy=self._policy.agent,
        )
        self.agents.append(agent)
        address = f'{HOST}:{agent.port}'
        self._put('Endpoint', name, address=address, zone='local', **spec)

    def _put(self, kind: str, name: str, **spec: Any) -> None:
        self._fleet.put_object(
            self.platform,
            {'kind': kind, 'metadata': {'name': name}, 'spec': spec},
        )


def capacity(*, without: int = -1) -> float:
    """Estimate what the engines give together.

    :param without: engine that is left out, or -1.
    :returns: tokens a second.
    """
    full = sum(
        slots * _US / token_ms
        for number, (slots, token_ms, _prefill) in enumerate(_ENGINES)
        if number != without
    )
    return full * _OVERLAP


def customer_key(customer: str) -> str:
    """Make the API key of a customer.

    :param customer: its name.
    :returns: the key.
    """
    return f'load-key-of-{customer}'
