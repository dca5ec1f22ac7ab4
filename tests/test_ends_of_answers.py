"""Answers whose endpoints, processes of their own, end within them or after."""

from __future__ import annotations

import signal
import sys
from typing import TYPE_CHECKING, Callable, Final, final

import pytest

from standins.ending_endpoint import Ending, Framing
from tests.gateway_site import GatewaySite, known_endpoints
from tests.local_site import wait_until
from tests.test_gateway_streams import PROMPT, parse_event_ids
from tools.fleet import HOST, Process, free_port

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterator

    from standins.received_answer import ReceivedAnswer
    from tests.gateway_site import CallerStandIn

PIECES: Final = 6
ALL_EVENTS: Final = list(range(1, PIECES + 1))
HOLD_BEFORE: Final = 4
SENT_BEFORE_END: Final = ALL_EVENTS[: HOLD_BEFORE - 1]
TARGETS: Final = ('/stream/x', '/oneway/x', '/safe/x', '/unsafe/x')
FAILURES: Final = 20
DEADLINE_MS: Final = '1500'


@final
class EndingSite:
    """A gateway and two endpoint processes of which the first one ends."""

    def __init__(self, *, site: GatewaySite, folder: pathlib.Path) -> None:
        """Start the gateway.

        :param site: the site, without endpoints.
        :param folder: folder of the logs.
        """
        self.site = site
        self.processes: dict[str, Process] = {}
        self._folder = folder
        self._pool = ''
        self._gateway = site.start_gateway()

    def start(self, name: str, target: str, *options: str) -> None:
        """Start an endpoint that serves a target.

        :param name: its name.
        :param target: path of the requests.
        :param options: options of its command line.
        """
        is_stream = target in {'/stream/x', '/oneway/x'}
        self._pool = 'engines' if is_stream else 'plain'
        port = free_port()
        command = (sys.executable, '-m', 'standins.ending_endpoint')
        ports = ('--name', name, '--port', str(port))
        self.processes[name] = Process(
            name=name,
            log=self._folder / f'{name}.log',
            command=(*command, *ports, '--pieces', str(PIECES), *options),
            port=port,
        )

    def put(self, name: str, state: str = 'ready') -> None:
        """List an endpoint, and wait until the gateway knows.

        :param name: its name.
        :param state: ``ready`` or ``draining``.
        """
        entry = {
            'service': self._pool,
            'address': f'{HOST}:{self.processes[name].port}',
            'zone': 'osl-a',
            'version': 'v1',
            'slots': 8,
            'state': state,
        }
        self.site.store.put('servers', name, entry)
        wait_until(lambda: self._is_known(name, draining=state != 'ready'))

    def remove(self, name: str) -> None:
        """Take an endpoint from the list, and wait until the gateway knows.

        :param name: its name.
        """
        self.site.store.delete('servers', name)
        table = known_endpoints(self._gateway)
        wait_until(lambda: table.find(name) is None)

    def eject(self, name: str) -> None:
        """Have the gateway find an endpoint failing and unreachable.

        :param name: its name.
        """
        health = self._gateway._state.knowledge.health
        for _failure in range(FAILURES):
            health.note_failure(name)
        health.note_unreachable(name)
        assert health.is_ejected(name)

    def announce_leaving(self) -> None:
        """Have the first endpoint leave, and wait until it is watched."""
        self.put('first', 'draining')
        connections = self._gateway._state.connections
        wait_until(lambda: len(connections.list_open('first')) > 1)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to an endpoint.

        :param name: its name.
        :param number: the signal.
        """
        self.processes[name].signal(number)

    def begin(self, target: str, **headers: str) -> CallerStandIn:
        """Send a request and wait until the first endpoint waits within it.

        :param target: path of the request.
        :param headers: its headers, beside those of a prompt.
        :returns: the caller.
        """
        wait_until(lambda: not self._gateway.not_ready())
        caller = self.site.caller()
        prompt = PROMPT if self._pool == 'engines' else {}
        method = 'GET' if target == '/safe/x' else 'POST'
        caller.send(target, method=method, **headers, **prompt)
        log = self.processes['first'].log
        wait_until(lambda: 'holds' in log.read_text('utf-8'))
        return caller

    def close(self) -> None:
        """End the endpoints."""
        for process in self.processes.values():
            process.kill()

    def _is_known(self, name: str, *, draining: bool) -> bool:
        known = known_endpoints(self._gateway).find(name)
        return known is not None and known.draining is draining


@pytest.fixture
def ending_site(
    gateway_site: GatewaySite, tmp_path: pathlib.Path
) -> Iterator[EndingSite]:
    """Return a site of one gateway without endpoints."""
    running = EndingSite(site=gateway_site, folder=tmp_path)
    yield running
    running.close()


def kill(site: EndingSite) -> None:
    """Kill the first endpoint."""
    site.processes['first'].kill()


def reset(site: EndingSite) -> None:
    """Have the first endpoint reset its connections."""
    site.signal('first', signal.SIGUSR2)


def kill_leaving(site: EndingSite) -> None:
    """Kill the first endpoint after its entry said that it leaves."""
    site.put('first', 'draining')
    kill(site)


def kill_watched(site: EndingSite) -> None:
    """Kill an endpoint that leaves and is watched."""
    site.announce_leaving()
    kill(site)


def reset_leaving(site: EndingSite) -> None:
    """Reset the connections of an endpoint that leaves."""
    site.put('first', 'draining')
    reset(site)


def kill_removed(site: EndingSite) -> None:
    """Kill the first endpoint after its entry went."""
    site.remove('first')
    kill(site)


def kill_ejected(site: EndingSite) -> None:
    """Kill an endpoint that gets no requests, as too many have failed."""
    site.eject('first')
    kill(site)


def stop(site: EndingSite) -> None:
    """Stop the first endpoint, so that it sends nothing any more."""
    site.signal('first', signal.SIGSTOP)


def receive_cut(
    site: EndingSite,
    target: str,
    framing: Framing,
    end: Callable[[EndingSite], None],
    **headers: str,
) -> ReceivedAnswer:
    """Return the answer to a request whose first endpoint ends within it."""
    options = ('--framing', framing)
    site.start('first', target, '--hold-before', str(HOLD_BEFORE), *options)
    site.start('second', target, *options)
    site.put('first')
    caller = site.begin(target, **headers)
    site.put('second')
    end(site)
    return caller.receive()


def count_lines(answer: ReceivedAnswer) -> int:
    """Count the pieces in a plain answer."""
    return answer.body.count(b'\n')


def check_cut(target: str, answer: ReceivedAnswer) -> None:
    """Check what a caller got of an answer that was cut."""
    if target == '/stream/x':
        assert answer.whole
        assert parse_event_ids(answer.body) == ALL_EVENTS
    elif target == '/oneway/x':
        assert not answer.whole
        assert parse_event_ids(answer.body) == SENT_BEFORE_END
    elif target == '/safe/x':
        assert answer.status == 200
        assert count_lines(answer) == PIECES
    else:
        assert answer.status == 502


@pytest.mark.processes
@pytest.mark.parametrize('target', TARGETS)
@pytest.mark.parametrize(
    'end',
    [
        kill,
        reset,
        kill_leaving,
        kill_watched,
        reset_leaving,
        kill_removed,
        kill_ejected,
    ],
)
def test_answer_without_length_cut_by_its_endpoint_is_not_complete(
    ending_site: EndingSite, target: str, end: Callable[[EndingSite], None]
):
    check_cut(target, receive_cut(ending_site, target, Framing.none, end))


@pytest.mark.processes
@pytest.mark.parametrize('target', TARGETS)
@pytest.mark.parametrize('framing', [Framing.length, Framing.chunks])
@pytest.mark.parametrize('end', [kill_leaving, reset])
def test_framed_answer_cut_by_its_endpoint_is_not_complete(
    ending_site: EndingSite,
    target: str,
    framing: Framing,
    end: Callable[[EndingSite], None],
):
    check_cut(target, receive_cut(ending_site, target, framing, end))


@pytest.mark.processes
@pytest.mark.parametrize('target', TARGETS)
def test_answer_of_an_endpoint_that_falls_silent_is_not_complete(
    ending_site: EndingSite, target: str
):
    answer = receive_cut(
        ending_site, target, Framing.none, stop, X_Deadline_Ms=DEADLINE_MS
    )
    received = parse_event_ids(answer.body)
    assert received in ([], SENT_BEFORE_END)
    assert not (answer.whole and answer.status == 200)


def check_whole(target: str, answer: ReceivedAnswer) -> None:
    """Check that the first endpoint's answer came whole."""
    assert answer.whole
    assert answer.status == 200
    assert answer.headers['x-response-seal'] == 'seal.first'
    if target in {'/stream/x', '/oneway/x'}:
        assert parse_event_ids(answer.body) == ALL_EVENTS
    else:
        assert count_lines(answer) == PIECES


def receive_ended(
    site: EndingSite,
    target: str,
    framing: Framing,
    ending: Ending,
    *options: str,
) -> ReceivedAnswer:
    """Return an answer of an endpoint that leaves and then ends by itself."""
    hold = ('--hold-before', str(HOLD_BEFORE), '--ending', ending)
    site.start('first', target, '--framing', framing, *hold, *options)
    site.start('second', target, '--framing', framing)
    site.put('first')
    caller = site.begin(target)
    site.put('second')
    if framing is Framing.none:
        site.announce_leaving()
    else:
        site.put('first', 'draining')
    site.signal('first', signal.SIGUSR1)
    return caller.receive()


@pytest.mark.processes
@pytest.mark.parametrize('target', TARGETS)
@pytest.mark.parametrize(
    ('framing', 'ending'),
    [
        (Framing.none, Ending.stays),
        (Framing.none, Ending.exits_later),
        (Framing.length, Ending.exits),
        (Framing.chunks, Ending.exits),
    ],
)
def test_answer_of_an_endpoint_that_ends_well_is_complete(
    ending_site: EndingSite, target: str, framing: Framing, ending: Ending
):
    answer = receive_ended(ending_site, target, framing, ending)
    check_whole(target, answer)


@pytest.mark.processes
@pytest.mark.parametrize('target', TARGETS)
def test_answer_of_an_endpoint_that_stops_listening_first_is_complete(
    ending_site: EndingSite, target: str
):
    answer = receive_ended(
        ending_site, target, Framing.none, Ending.exits_later, '--deaf'
    )
    check_whole(target, answer)


@pytest.mark.processes
@pytest.mark.parametrize(
    ('target', 'is_whole'),
    [('/stream/x', True), ('/oneway/x', False)],
)
def test_stream_whose_endpoint_exits_with_its_last_event_lacks_none(
    ending_site: EndingSite, target: str, *, is_whole: bool
):
    # Nothing shows that the endpoint wrote all: it may have been killed.
    answer = receive_ended(ending_site, target, Framing.none, Ending.exits)
    assert parse_event_ids(answer.body) == ALL_EVENTS
    assert answer.whole is is_whole


@pytest.mark.processes
@pytest.mark.parametrize('framing', list(Framing))
def test_stream_taken_up_after_its_last_event_ends_well(
    ending_site: EndingSite, framing: Framing
):
    ending_site.start('first', '/stream/x', '--framing', framing)
    ending_site.put('first')
    begun = ending_site.site.ask('/stream/x', method='POST', **PROMPT)
    assert parse_event_ids(begun.body) == ALL_EVENTS
    answer = ending_site.site.ask(
        '/stream/x',
        method='POST',
        X_Attempt_Id='a2',
        Resumes='a1',
        Last_Event_Id=str(PIECES),
        **PROMPT,
    )
    assert answer.status == 200
    assert answer.whole
    assert not answer.body
    assert answer.headers['x-response-seal'] == 'seal.first'
