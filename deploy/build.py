"""Installs the packages that a gateway needs under ``target/deps``.

A folder that is there may come from another kind of machine or interpreter,
from other requirements, or from a build that broke off. It is kept only if its
stamp fits and the gateway can be imported from it.
"""

from __future__ import annotations

import fcntl
import hashlib
import os
import pathlib
import platform
import shutil
import subprocess  # noqa: S404
import sys
from typing import Final

_ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
_REQUIREMENTS: Final = _ROOT / 'deploy' / 'requirements.txt'
_TARGET: Final = _ROOT / 'target' / 'deps'
_STAMP: Final = 'wingfall-build'
# What the gateway imports at its start, and later.
_IMPORTS: Final = (
    'wingfall.cmd.gateway',
    'wingfall.gateway.__main__',
    'gevent.libev.corecext',
    'wingfall.numeric_resolver',
    'jsonschema',
)
_CHECK_S: Final = 120


def main() -> int:
    """Install the packages, unless they are there; one build at a time.

    :returns: the exit code.
    """
    _TARGET.parent.mkdir(parents=True, exist_ok=True)
    with _TARGET.with_suffix('.lock').open('a') as lock:
        try:
            fcntl.flock(lock, fcntl.LOCK_EX)
        except OSError as error:  # The file system has no locks.
            sys.stderr.write(f'build: {lock.name} can not be locked: {error}\n')
        return _build()


def _build() -> int:
    _take_back(_TARGET)
    stamp = _make_stamp()
    if _read_stamp(_TARGET) == stamp and not find_fault(_TARGET):
        return 0
    fresh = _TARGET.with_suffix('.new')
    shutil.rmtree(fresh, ignore_errors=True)
    code = _install(fresh)
    if code:
        return _keep_unstamped(code)
    fault = find_fault(fresh)
    if fault:
        sys.stderr.write(f'build: {fresh} can not be used:\n{fault}')
        return 1
    (fresh / _STAMP).write_text(stamp, 'utf-8')
    _replace(_TARGET, fresh)
    return 0


def _keep_unstamped(code: int) -> int:
    # The registry may be out of reach, and what is there may do.
    fault = find_fault(_TARGET)
    if fault:
        return code
    sys.stderr.write(f'build: {_TARGET} is kept as it was\n')
    return 0


def find_fault(folder: pathlib.Path) -> str:
    """Check that a gateway can be imported from the packages of a folder.

    :param folder: the folder.
    :returns: what the import printed, empty if nothing is wrong.
    """
    script = f'import {", ".join(_IMPORTS)}'
    try:
        ended = subprocess.run(  # noqa: S603
            (sys.executable, '-S', '-B', '-c', script),
            cwd=_ROOT,
            env={'PATH': os.environ.get('PATH', ''), 'PYTHONPATH': str(folder)},
            capture_output=True,
            text=True,
            timeout=_CHECK_S,
            check=False,
        )
    except (OSError, subprocess.TimeoutExpired) as error:
        return f'{error}\n'
    # An extension that is cut off may end the process by a signal.
    return (ended.stderr or f'exit {ended.returncode}\n') * bool(
        ended.returncode
    )


def _make_stamp() -> str:
    digest = hashlib.sha256(_REQUIREMENTS.read_bytes()).hexdigest()
    lines = (digest, sys.version, platform.machine(), platform.libc_ver()[0])
    return '\n'.join(lines)


def _read_stamp(folder: pathlib.Path) -> str:
    try:
        return (folder / _STAMP).read_text('utf-8')
    except (OSError, UnicodeDecodeError):
        return ''


def _install(folder: pathlib.Path) -> int:
    command = (sys.executable, '-m', 'pip', 'install', '-q')
    return subprocess.run(  # noqa: S603
        (*command, '--target', str(folder), '-r', str(_REQUIREMENTS)),
        check=False,
    ).returncode


def _take_back(folder: pathlib.Path) -> None:
    # A build may have been killed between the two renames.
    earlier = folder.with_suffix('.old')
    if earlier.exists() and not folder.exists():
        earlier.rename(folder)


def _replace(folder: pathlib.Path, fresh: pathlib.Path) -> None:
    earlier = folder.with_suffix('.old')
    shutil.rmtree(earlier, ignore_errors=True)
    if folder.exists():
        folder.rename(earlier)
    fresh.rename(folder)
    shutil.rmtree(earlier, ignore_errors=True)


if __name__ == '__main__':
    sys.exit(main())
