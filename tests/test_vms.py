"""The platform's VM list: leaving endpoints, routers finding each other."""

from __future__ import annotations

from tests.local_site import HOST, wait_until

_OFTEN = {'vms_ms': 100}


def _declare_on_vm(site, name, vm):
    site.put(
        'Endpoint',
        name,
        address=f'{HOST}:{site.agents[name].port}',
        zone='local',
        type='engine',
        models=['m'],
        vm=vm,
    )


def _up(router, name):
    return router.status()['endpoints'][name]['state'] == 'up'


def _wait_calls(site, calls):
    wait_until(lambda: site.platform.calls >= calls)


def test_endpoint_on_a_leaving_vm_gets_no_work(site):
    site.add_class('plain')
    for name in ('stays', 'leaves'):
        site.add_engine(name)
        _declare_on_vm(site, name, f'vm-of-{name}')
    router = site.add_router(platform=dict(_OFTEN))
    site.platform.vms = [{'name': 'vm-of-leaves', 'state': 'leaving'}]
    wait_until(lambda: not _up(router, 'leaves'))
    for _ask in range(10):
        assert site.ask(router, max_tokens=1).status == 200
    assert not site.engines['leaves'].streams
    site.platform.vms = [{'name': 'vm-of-leaves', 'state': 'live'}]
    wait_until(lambda: _up(router, 'leaves'))


def test_list_that_is_away_or_odd_changes_nothing(site):
    site.add_class('plain')
    site.add_engine('engine')
    _declare_on_vm(site, 'engine', 'vm')
    router = site.add_router(platform=dict(_OFTEN))
    for odd in ([{'state': 'leaving'}], ['vm'], 7):
        site.platform.vms = odd
        _wait_calls(site, site.platform.calls + 2)
        assert _up(router, 'engine')
    site.platform.script = {'down': 1}
    _wait_calls(site, site.platform.calls + 2)
    assert _up(router, 'engine')


def test_routers_find_each_other_by_the_list(site):
    routers = [site.add_router(platform=dict(_OFTEN)) for _router in range(3)]
    site.platform.vms = [
        {
            'name': f'entry-{number}',
            'zone': 'local',
            'peer': f'{HOST}:{router.peer_port}',
        }
        for number, router in enumerate(routers)
    ]
    wait_until(
        lambda: all(len(router.status()['peers']) == 2 for router in routers),
    )
    site.add_class('plain')
    wait_until(
        lambda: all(
            router.copy.version == site.platform.version for router in routers
        ),
    )
