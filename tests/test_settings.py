"""Settings, object files and selectors."""

from __future__ import annotations

import pathlib

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success

from tools.settings_reference import PAGE, render
from wingfall.objects.files import read_object_files
from wingfall.objects.selector import parse_labels, parse_selector
from wingfall.settings.loader import parse_settings
from wingfall.settings.schema import AGENT_SCHEMA, ROUTER_SCHEMA

_ROOTS = pathlib.Path(__file__).parent / 'roots'


def _read(name, schema=ROUTER_SCHEMA):
    text = (_ROOTS / name).read_text()
    return parse_settings(name, text, schema)


def test_defaults_are_filled_in():
    settings = _read('router.yaml').unwrap()
    assert settings.callers.port == 8080
    assert settings.policy.choice == 'expected_delay'
    assert settings.limits.window_bytes == 262_144


def test_all_faults_come_at_once_with_their_lines():
    faults = [str(fault) for fault in _read('router-faults.yaml').failure()]
    assert faults == [
        'router-faults.yaml:1: secret_path: the field is missing',
        "router-faults.yaml:2: zone: 7 is not of type 'string'",
        'router-faults.yaml:5: callers.port: 99999 is greater than the '
        'maximum of 65535',
        'router-faults.yaml:6: callers.prot: unknown field',
        'router-faults.yaml:8: platform.url: the field is missing',
    ]


def test_broken_yaml_has_its_line():
    (fault,) = parse_settings('x', 'a: 1\nb: [\n', AGENT_SCHEMA).failure()
    assert fault.line == 3


def test_field_given_twice_is_a_fault():
    (fault,) = parse_settings('x', 'a: 1\na: 2\n', AGENT_SCHEMA).failure()
    assert str(fault) == 'x:2: a: the field is given twice'


@pytest.mark.parametrize('text', ['', '- a\n', 'plain', 'a: 1\n---\nb: 2\n'])
def test_no_single_mapping_is_a_fault(text):
    assert parse_settings('x', text, AGENT_SCHEMA).failure()


def test_object_faults_have_lines():
    path = str(_ROOTS / 'objects-faults.yaml')
    faults = [
        (fault.line, fault.field, fault.reason)
        for fault in read_object_files([path]).failure()
    ]
    assert faults == [
        (5, 'spec.requests', "'use=' is not a selector term"),
        (13, 'spec.tier', "'high' is not of type 'integer'"),
        (16, 'kind', 'not one of Customer, Endpoint, RequestClass'),
    ]


def test_settings_page_is_that_of_the_schemas():
    page = pathlib.Path(__file__).parent.parent / PAGE
    assert page.read_text('utf-8') == render()


def test_examples_are_valid():
    examples = pathlib.Path(__file__).parent.parent / 'examples'
    paths = sorted(str(path) for path in examples.glob('*.yaml'))
    assert paths
    assert read_object_files(paths).unwrap()


@pytest.mark.parametrize(
    ('text', 'labels', 'matches'),
    [
        ('', {}, True),
        ('a=b', {'a': 'b'}, True),
        ('a==b', {'a': 'c'}, False),
        ('a!=b', {}, True),
        ('a!=b', {'a': 'b'}, False),
        ('a in (b, c)', {'a': 'c'}, True),
        ('a in (b, c)', {}, False),
        ('a notin (b)', {}, True),
        ('a notin (b,c)', {'a': 'c'}, False),
        ('a', {'a': 'x'}, True),
        ('!a', {'a': 'x'}, False),
        ('!a, b=c', {'b': 'c'}, True),
        ('a=b,c in (d,e),!f', {'a': 'b', 'c': 'e', 'f': 'g'}, False),
    ],
)
def test_selector(text, labels, matches):
    assert parse_selector(text).unwrap().matches(labels) is matches


@pytest.mark.parametrize(
    'text',
    ['=b', 'a=', 'a in b', 'a in (', 'a in ()', 'a,,b', '!a=b', 'a b', '!'],
)
def test_bad_selector_is_named(text):
    assert 'is not a selector term' in parse_selector(text).failure()


@given(st.text(max_size=40))
def test_any_text_is_a_selector_or_a_fault(text):
    parsed = parse_selector(text)
    assert isinstance(parsed, Success) or parsed.failure()


def test_labels_of_a_header():
    assert parse_labels(' a=b , c=d').unwrap() == {'a': 'b', 'c': 'd'}
    assert parse_labels('').unwrap() == {}
    assert 'a' in parse_labels('a').failure()
