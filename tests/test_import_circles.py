"""No module of the package needs itself, not even for its types."""

from __future__ import annotations

import ast
import graphlib
import pathlib

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
