"""Rolls the gateways of a soak from an earlier version to this one and back.

The earlier version is taken from the repository's own history. Each gateway is
stopped by plan and started again as the other version, while all other faults
go on, so that both run side by side for most of the time.
"""

from __future__ import annotations

import io
import pathlib
import subprocess  # noqa: S404
import tarfile
import time
import tomllib
from typing import TYPE_CHECKING, Final, final

import gevent

if TYPE_CHECKING:
    import random

    from tools.soak.site import SoakSite

_ROOT: Final = pathlib.Path(__file__).resolve().parent.parent.parent
_DEPLOY: Final = _ROOT / 'deploy' / 'system.toml'
# Most seconds between two gateways that are replaced.
_MOST_GAP_S: Final = 1.5
# Replacements of all: forward, back, and forward again.
_TURNS: Final = (False, True, False)


def production_commit() -> str:
    """Read which version is in production.

    :returns: its commit, as the deploy file names it.
    """
    return str(tomllib.loads(_DEPLOY.read_text('utf-8'))['production'])


def unpack_version(commit: str, folder: pathlib.Path) -> pathlib.Path:
    """Take a version from the repository's history.

    :param commit: its commit.
    :param folder: where to unpack it.
    :returns: the folder that its programs run in.
    """
    packed = subprocess.run(  # noqa: S603
        ('git', 'archive', '--format=tar', commit, 'wingfall'),  # noqa: S607
        cwd=_ROOT,
        capture_output=True,
        check=True,
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(packed)) as archive:
        archive.extractall(folder, filter='data')
    return folder


@final
class Upgrade:
    """Replaces all gateways one after the other, forward and back."""

    def __init__(self, *, site: SoakSite, chance: random.Random) -> None:
        """Start to replace them.

        :param site: the site, whose gateways are of the earlier version.
        :param chance: what the order and the gaps are drawn from.
        """
        self._site = site
        self._chance = chance
        self._started_s = time.monotonic()
        self._rolling = gevent.spawn(self._roll)

    def join(self) -> None:
        """Wait until all gateways are of this version for good."""
        self._rolling.get()
        # Gateways of the earlier version count for no report.
        self._site.mixed_s.append((self._started_s, time.monotonic()))

    def _roll(self) -> None:
        for earlier in _TURNS:
            names = list(self._site.gateways)
            self._chance.shuffle(names)
            for name in names:
                self._replace(name, earlier=earlier)
                gevent.sleep(self._chance.uniform(0, _MOST_GAP_S))

    def _replace(self, name: str, *, earlier: bool) -> None:
        site = self._site
        with site.held[name]:
            gateway = site.gateways[name]
            if gateway.child.poll() is None:
                gateway.stop()
            site.choose_version(name, earlier=earlier)
            gateway.restart()
