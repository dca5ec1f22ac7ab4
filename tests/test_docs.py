"""What the pages name is there: modules, tests, make targets, pages."""

from __future__ import annotations

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
PAGES = [ROOT / 'README.md', *sorted((ROOT / 'docs').rglob('*.md'))]
# Where a module that a page names may stand.
FOLDERS = ('', 'wingfall', 'wingfall/gateway', 'tests')


def named(page: pathlib.Path, pattern: str) -> set[str]:
    """List what a page names in code marks."""
    return set(re.findall(pattern, page.read_text('utf-8')))


def defined_tests() -> set[str]:
    """List all tests by their names."""
    return {
        name
        for path in (ROOT / 'tests').rglob('test_*.py')
        for name in re.findall(r'def (test_\w+)', path.read_text('utf-8'))
    }


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
def test_modules_that_a_page_names_exist(page: pathlib.Path):
    missing = {
        name
        for name in named(page, r'`([\w/]+\.py)`')
        if not any((ROOT / folder / name).exists() for folder in FOLDERS)
    }
    assert not missing


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
def test_tests_that_a_page_names_exist(page: pathlib.Path):
    assert not named(page, r'`(test_\w+)`') - defined_tests()


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
def test_make_targets_that_a_page_names_exist(page: pathlib.Path):
    makefile = (ROOT / 'Makefile').read_text('utf-8')
    targets = set(re.findall(r'^([\w-]+):', makefile, re.MULTILINE))
    assert not named(page, r'`make ([\w-]+)') - targets


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
def test_pages_that_a_page_links_exist(page: pathlib.Path):
    links = named(page, r'\]\(([^)#:]+)\)')
    missing = {link for link in links if not (page.parent / link).exists()}
    assert not missing


def test_each_rule_of_gateways_has_a_line_among_the_decisions():
    page = (ROOT / 'docs' / 'DECISIONS.md').read_text('utf-8')
    # Joined by other rules, or only hold what rules need.
    parts = {'__init__', 'candidate', 'decaying_sum', 'engine_speeds'}
    parts |= {'policies', 'prefix_caches', 'long_reads'}
    rules = {
        path.stem
        for path in (ROOT / 'wingfall' / 'gateway' / 'rules').glob('*.py')
    }
    missing = {
        rule for rule in rules - parts if f'`rules/{rule}.py`' not in page
    }
    assert not missing
