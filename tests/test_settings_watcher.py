"""Settings files that change under a running process."""

from __future__ import annotations

import pathlib

from wingfall.settings.fields import number, section
from wingfall.settings.watcher import SettingsWatcher

SCHEMA = section('Test.', size=number(1, 0, 9, 'A size.'))


def make(path: pathlib.Path, taken: list[int]) -> SettingsWatcher:
    """Watch a file with one field."""
    return SettingsWatcher(
        path=str(path),
        schema=SCHEMA,
        take=lambda settings: taken.append(settings.size),
    )


def test_changed_file_is_taken(tmp_path: pathlib.Path):
    path = tmp_path / 'settings.yaml'
    path.write_text('size: 3\n', 'utf-8')
    taken: list[int] = []
    watcher = make(path, taken)
    path.write_text('size: 4\n', 'utf-8')
    watcher.reload()
    assert taken == [4]


def test_file_with_faults_changes_nothing(tmp_path: pathlib.Path):
    path = tmp_path / 'settings.yaml'
    path.write_text('size: many\n', 'utf-8')
    taken: list[int] = []
    watcher = make(path, taken)
    watcher.reload()
    path.unlink()
    watcher.reload()
    assert not taken
