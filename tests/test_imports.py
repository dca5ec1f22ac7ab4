"""No module needs itself, and packages need only those below them."""

from __future__ import annotations

import ast
import graphlib
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent.parent


def module_name(path: pathlib.Path) -> str:
    """Name the module of a file."""
    parts = path.relative_to(ROOT).with_suffix('').parts
    return '.'.join(part for part in parts if part != '__init__')


def imported(path: pathlib.Path) -> set[str]:
    """List the modules that a file imports names of."""
    tree = ast.parse(path.read_text('utf-8'))
    return {
        node.module
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom) and node.module
    }


def test_imports_form_no_circle():
    modules = {
        module_name(path): imported(path)
        for path in (ROOT / 'wingfall').rglob('*.py')
    }
    assert len(modules) > 100
    graphlib.TopologicalSorter(modules).prepare()


# Each package of the gateway may need those before it.
GATEWAY_LAYERS = (
    'model',
    'knowledge',
    'rules',
    'endpoints',
    'state',
    'configuration',
    'duties',
    'peers',
    'calls',
    'callers',
    'assembly',
    'status',
    'application',
    '__main__',
)
GATEWAY = ('wingfall', 'gateway')
# Programs that gateways don't run, with their rules.
ROUTERS_AND_AGENTS = {'router', 'agent', 'decision', 'config', 'object_api'}


def layer(module: str) -> int | None:
    """Tell the layer of one of the gateway's modules."""
    parts = tuple(module.split('.'))
    if parts[:2] != GATEWAY or len(parts) == 2:
        return None
    return GATEWAY_LAYERS.index(parts[2])


def test_packages_of_the_gateway_need_only_those_below():
    upward = []
    for path in (ROOT / 'wingfall' / 'gateway').rglob('*.py'):
        own = layer(module_name(path))
        if own is None:
            continue
        needed = [(name, layer(name)) for name in imported(path)]
        upward += [
            f'{module_name(path)} needs {name}'
            for name, number in needed
            if number is not None and number > own
        ]
    assert not upward


def test_gateways_and_routers_with_agents_share_no_decision():
    gateway = ROOT / 'wingfall' / 'gateway'
    both = [
        f'{module_name(path)} needs {name}'
        for path in (ROOT / 'wingfall').rglob('*.py')
        for name in imported(path)
        if name.startswith('wingfall.')
        and (
            (
                gateway in path.parents
                and name.split('.')[1] in ROUTERS_AND_AGENTS
            )
            or (
                path.relative_to(ROOT).parts[1] in ROUTERS_AND_AGENTS
                and name.split('.')[1] in {'gateway', 'platform'}
            )
        )
    ]
    assert not both


def test_platform_needs_only_the_gateways_plain_data():
    needed = {
        name
        for path in (ROOT / 'wingfall' / 'platform').rglob('*.py')
        for name in imported(path)
        if name.startswith('wingfall.gateway')
    }
    assert {name.split('.')[2] for name in needed} == {'model'}


@pytest.mark.parametrize(
    'package', ['peers', 'rules', 'knowledge', 'endpoints']
)
def test_only_calls_and_the_configuration_take_the_whole_state(package: str):
    folder = ROOT / 'wingfall' / 'gateway' / package
    taking = [
        path.name
        for path in folder.glob('*.py')
        if 'wingfall.gateway.state' in imported(path)
    ]
    assert not taking
