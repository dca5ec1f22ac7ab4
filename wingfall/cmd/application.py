"""The command line: its commands and their exit codes."""

from __future__ import annotations

import sys
from typing import Final

from cyclopts import App, CycloptsError

from wingfall import __version__
from wingfall.cmd.faults import EXIT_USAGE

_COMMANDS: Final = (
    ('router', 'Run the router of an entry VM.'),
    ('gateway', 'Run a router for endpoints without agents.'),
    ('agent', 'Run the agent beside an endpoint.'),
    ('check', 'Check object files and settings.'),
    ('apply', 'Create or replace the objects of files.'),
    ('get', 'Print objects as YAML.'),
    ('label', 'Set labels by key=value, take them away by key-.'),
    ('delete', 'Delete an object.'),
    ('status', 'Show the accepted version and where it is in force.'),
    ('trace', 'Print what the logs of gateways tell of one call.'),
    ('losses', 'Print which calls were not in time, and why, from logs.'),
    ('explain', 'Show which endpoints a request may use, and why not.'),
)


def make_app() -> App:
    """Make the command line; a command's module is imported when it runs.

    :returns: the application.
    """
    app = App(
        name='wingfall',
        help='A router for language-model traffic with service levels.',
        version=__version__,
        result_action='return_value',
    )
    for name, about in _COMMANDS:
        app.command(f'wingfall.cmd.{name}:run', name=name, help=about)
    return app


def run() -> None:
    """Run the command that the arguments name, and exit."""
    app = make_app()
    try:
        code = app(sys.argv[1:], exit_on_error=False, print_error=True)
    except CycloptsError:
        sys.exit(EXIT_USAGE)
    sys.exit(code if isinstance(code, int) else 0)
