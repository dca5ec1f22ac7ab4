"""What the two programs share: their frame, and how they run and stop."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, Any, Callable

import gevent
from gevent.event import Event

from wingfall.admin import make_admin_app
from wingfall.clock import MS_PER_S, Clock
from wingfall.guard import run_guarded, run_steps
from wingfall.http_server import HttpServer
from wingfall.log import part_logger
from wingfall.loop_lag import LoopLag
from wingfall.memory_watch import MemoryWatch
from wingfall.metrics import Metrics
from wingfall.port_opener import PortOpener
from wingfall.supervisor import Backoff, Supervisor
from wingfall.wire.handshake import Identity

if TYPE_CHECKING:
    from types import SimpleNamespace

_POLL_MS = 20

logger = part_logger('program')


class Program(abc.ABC):
    """A program with an admin port that serves until a planned stop."""

    __slots__ = (
        '_admin',
        '_clock',
        '_identity',
        '_lag',
        '_metrics',
        '_ports',
        '_settings',
        '_stop',
        '_supervisor',
    )

    def __init__(self, *, settings: SimpleNamespace, secret: bytes) -> None:
        """Make the frame.

        :param settings: the checked settings.
        :param secret: secret shared by all processes.
        """
        self._settings = settings
        self._clock = Clock()
        self._metrics = Metrics()
        self._stop = Event()
        self._identity = Identity(name=settings.name, secret=secret)
        self._supervisor = Supervisor(name=settings.name, clock=self._clock)
        self._ports = PortOpener(
            clock=self._clock, stop=self._stop, supervisor=self._supervisor
        )
        self._lag = LoopLag(clock=self._clock, metrics=self._metrics)
        admin_app = make_admin_app(
            ready=self.not_ready,
            status=self.status,
            metrics=self._metrics,
        )
        self._admin = HttpServer(app=admin_app, address=settings.admin)

    @property
    def clock(self) -> Clock:
        """The time of this program."""
        return self._clock

    @property
    def admin_port(self) -> int:
        """Port for operators."""
        return self._admin.port

    def run(self) -> None:
        """Serve until :meth:`stop`, then drain.

        The main greenlet only waits: gevent raises there what it takes for an
        error of the system, wherever that was raised.
        """
        self.start()
        end = gevent.spawn(self._end_as_planned)
        backoff = Backoff()
        while not end.ready():
            try:
                end.join()
            except (KeyboardInterrupt, SystemExit):
                self.stop()
            except Exception:
                logger.exception('An error came to the main greenlet.')
                self._pause(backoff.take_ms())

    def start(self) -> None:
        """Start serving and return."""
        self._supervisor.start('loop_lag', self._lag.run)
        memory = MemoryWatch(metrics=self._metrics)
        self._supervisor.start('memory', memory.run)
        self._ports.open('admin', self._admin.start)

    def supervise(self, name: str, body: Callable[[], None]) -> None:
        """Run a part that is started again when it fails, until the end.

        :param name: name of the part, for logs.
        :param body: its work.
        """
        self._supervisor.start(name, body)

    def stop(self) -> None:
        """Ask for a planned stop."""
        self._stop.set()

    def close(self) -> None:
        """End everything now."""
        run_steps(
            'program', supervisor=self._supervisor.stop, admin=self._admin.stop
        )

    @abc.abstractmethod
    def drain(self) -> None:
        """Take no new work, and wait until what there is has ended."""

    @abc.abstractmethod
    def not_ready(self) -> str:
        """Tell why the program isn't ready.

        :returns: the reason, empty if it is ready.
        """

    @abc.abstractmethod
    def status(self) -> dict[str, Any]:
        """Show the state of the program.

        :returns: the state as JSON.
        """

    def _end_as_planned(self) -> None:
        self._stop.wait()
        run_steps('program', drain=self.drain, close=self.close)

    def _pause(self, for_ms: int) -> None:
        run_guarded(
            'program', 'A pause', lambda: gevent.sleep(for_ms / MS_PER_S)
        )

    def _wait_while(self, busy: Callable[[], object]) -> None:
        """Wait for work to end, as long as a planned stop may take.

        :param busy: tells whether there is work.
        """
        deadline_ms = self._clock.now_ms() + self._settings.limits.drain_ms
        while busy() and self._clock.now_ms() < deadline_ms:
            gevent.sleep(_POLL_MS / MS_PER_S)
