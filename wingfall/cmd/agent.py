"""``wingfall agent``: the program beside each endpoint."""

from __future__ import annotations

from wingfall.agent.application import AgentApplication, check_agent_policy
from wingfall.cmd.daemon import run_daemon
from wingfall.settings.schema import AGENT_SCHEMA


def run(*, settings: str) -> int:
    """Run the agent beside an endpoint.

    :param settings: the settings file.
    :returns: the exit code.
    """
    return run_daemon(
        settings,
        AGENT_SCHEMA,
        check_agent_policy,
        AgentApplication,
    )
