"""The operators' commands against the platform stand-in."""

from __future__ import annotations

import pytest
import yaml

from standins.platform import PlatformStandIn
from standins.serving import start_server
from tests.local_site import HOST
from wingfall.cmd import apply, delete, explain, get, label, status
from wingfall.metrics import Metrics
from wingfall.object_api.client import HttpObjectApi
from wingfall.object_api.edit import apply_object

_LOBBY = {
    'kind': 'RequestClass',
    'metadata': {'name': 'lobby', 'labels': {'team': 'a'}},
    'spec': {'tier': 0, 'timeout_ms': 1000},
}


@pytest.fixture
def platform():
    """Give a platform and its URL."""
    standin = PlatformStandIn()
    server = start_server(standin.app)
    standin.url = f'http://{HOST}:{server.port}'
    yield standin
    server.stop()


@pytest.fixture
def lobby_file(tmp_path):
    """Give a file with one class."""
    path = tmp_path / 'lobby.yaml'
    path.write_text(yaml.safe_dump(_LOBBY))
    return str(path)


def _apply(path, platform):
    return apply.run(file=[path], platform=platform.url)


def _held(platform, name='lobby', kind='RequestClass'):
    return platform.objects[kind, name]


def test_apply_creates_then_changes_nothing(platform, lobby_file, capsys):
    assert _apply(lobby_file, platform) == 0
    version = platform.version
    assert _apply(lobby_file, platform) == 0
    assert platform.version == version
    lines = capsys.readouterr().out.splitlines()
    assert lines == [
        'RequestClass lobby: created, version 2',
        'RequestClass lobby: unchanged, version 2',
    ]


def test_faulty_file_sends_nothing(platform, lobby_file, capsys):
    faulty = 'tests/roots/objects-faults.yaml'
    paths = [lobby_file, faulty]
    assert apply.run(file=paths, platform=platform.url) == 2
    assert not platform.objects
    assert faulty in capsys.readouterr().err


def test_label_sets_and_takes_away(platform, lobby_file):
    _apply(lobby_file, platform)
    changes = ('zone=b', 'team-')
    code = label.run('RequestClass', 'lobby', *changes, platform=platform.url)
    assert code == 0
    assert _held(platform)['metadata']['labels'] == {'zone': 'b'}


@pytest.mark.parametrize('changes', [(), ('a=b=c',), ('=x',)])
def test_bad_label_is_bad_usage(platform, changes):
    code = label.run('RequestClass', 'lobby', *changes, platform=platform.url)
    assert code == 2


def test_what_is_not_there_is_refused(platform):
    assert label.run('Customer', 'x', 'a=b', platform=platform.url) == 1
    assert delete.run('Customer', 'x', platform=platform.url) == 1
    assert get.run('Customer', 'x', platform=platform.url) == 1


def test_racing_change_ends_in_a_conflict(platform, lobby_file, capsys):
    _apply(lobby_file, platform)
    write = platform.put

    def race(raw):
        platform.put = write
        held = _held(platform)
        write({**held, 'spec': {'tier': 3, 'timeout_ms': 7}})
        return write(raw)

    platform.put = race
    assert label.run('RequestClass', 'lobby', 'a=b', platform=platform.url) == 1
    assert 'conflict' in capsys.readouterr().err
    assert _held(platform)['spec']['tier'] == 3
    assert _held(platform)['metadata']['labels'] == {'team': 'a'}


def test_lost_answer_is_resolved_by_reading_back(platform, lobby_file):
    platform.script = {'lose_answers': 1}
    assert _apply(lobby_file, platform) == 0
    assert platform.version == 2
    platform.script = {'lose_answers': 1}
    assert delete.run('RequestClass', 'lobby', platform=platform.url) == 0
    assert not platform.objects


class _LosingApi:
    """Writes, then loses the answer and the platform."""

    def __init__(self, platform):
        self._platform = platform
        self.read = _api(platform.url).read

    def write(self, raw):
        self._platform.put(raw)
        self._platform.script = {'down': 1}
        return _api(f'http://{HOST}:9').write(raw)


def _api(url):
    return HttpObjectApi(url=url, timeout_ms=2000, metrics=Metrics())


def test_change_that_can_not_be_confirmed_is_said_so(platform):
    reason = apply_object(_LosingApi(platform), _LOBBY).failure()
    assert 'not confirmed' in reason


def test_platform_that_is_away_is_a_refusal(lobby_file, capsys):
    code = apply.run(file=[lobby_file], platform=f'http://{HOST}:9')
    assert code == 1
    assert 'was not read' in capsys.readouterr().err


def test_no_platform_is_named(lobby_file, monkeypatch, capsys):
    monkeypatch.delenv('WINGFALL_PLATFORM', raising=False)
    assert apply.run(file=[lobby_file]) == 1
    assert 'WINGFALL_PLATFORM' in capsys.readouterr().err


def test_get_prints_what_apply_takes(platform, lobby_file, tmp_path, capsys):
    _apply(lobby_file, platform)
    capsys.readouterr()
    assert get.run('RequestClass', platform=platform.url) == 0
    path = tmp_path / 'got.yaml'
    path.write_text(capsys.readouterr().out)
    assert _apply(str(path), platform) == 0
    assert 'unchanged' in capsys.readouterr().out


def test_status_counts_where_it_is_in_force(site, capsys):
    site.add_class('plain')
    router = site.add_router()
    addresses = [f'{HOST}:{router.admin_port}']
    assert status.run(*addresses, platform=site.platform_url) == 0
    assert 'in force at 1 of 1 routers' in capsys.readouterr().out
    code = status.run(*addresses, f'{HOST}:9', platform=site.platform_url)
    assert code == 1
    assert 'in force at 1 of 2 routers' in capsys.readouterr().out


def test_started_router_has_the_configuration_of_a_slow_platform(site):
    site.add_class('plain')
    site.platform.script = {'delay_ms': 300}
    router = site.add_router()
    assert router.copy.version == site.platform.version


def test_explain_tells_why_not(site, capsys):
    site.add_class('chat', requests='use=chat', endpoints='pool=chat')
    site.add_engine('other')
    code = explain.run(
        labels='use=chat',
        model='m',
        platform=site.platform_url,
    )
    assert code == 1
    lines = capsys.readouterr().out.splitlines()
    assert lines == ['class chat, tier 1', "other: labels miss 'pool=chat'"]
