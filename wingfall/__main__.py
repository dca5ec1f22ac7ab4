"""Entry point: patches the standard library, then runs the command."""

from __future__ import annotations

import gevent
from gevent import monkey

from wingfall.standard_streams import open_standard_streams

# Before anything opens a socket or a file.
open_standard_streams()
# libuv may use io_uring, which the platform bars; libev on epoll doesn't.
gevent.config.loop = 'libev-cext'
gevent.config.libev_backend = 'epoll'
gevent.config.resolver = 'wingfall.numeric_resolver.NumericResolver'
monkey.patch_all()


def main() -> None:
    """Run the command line."""
    from wingfall.cmd.application import run  # noqa: PLC0415, WPS433

    run()


if __name__ == '__main__':
    main()
