"""``wingfall router``: the program on entry VMs."""

from __future__ import annotations

from wingfall.cmd.daemon import run_daemon
from wingfall.router.application import RouterApplication, check_router_policy
from wingfall.settings.schema import ROUTER_SCHEMA


def run(*, settings: str) -> int:
    """Run the router of an entry VM.

    :param settings: the settings file.
    :returns: the exit code.
    """
    return run_daemon(
        settings,
        ROUTER_SCHEMA,
        check_router_policy,
        RouterApplication,
    )
