"""How often a gateway calls the store, and what it need not ask."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, final

import gevent
import pytest
from gevent.event import Event
from returns.result import Failure, Result, Success

from tests.local_site import wait_until
from wingfall.clock import MS_PER_S, WallClock
from wingfall.errors import PlatformError
from wingfall.gateway.configuration.follower import (
    REST_MS,
    StoreFollower,
    retry_ms,
)
from wingfall.gateway.configuration.replica import ROUTES_KIND, ObjectReplica
from wingfall.gateway.model.object_store import StoredObject, StoreReading

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

GONE = 410
DOWN = 503


@final
class _Store:
    """Answers what a test tells, and keeps the calls."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        # Whether each watch was to return at once.
        self.brief: list[bool] = []
        self.status = 0
        # Called by a long answer as it comes in.
        self.progress: Callable[[], None] = lambda: None

    def list_all(
        self,
        *,
        progress: Callable[[], None],
    ) -> Result[StoreReading, PlatformError]:
        return self._answer('list')

    def watch(
        self,
        revision: int,
        *,
        progress: Callable[[], None],
        brief: bool = False,
    ) -> Result[StoreReading, PlatformError]:
        self.brief.append(brief)
        self.progress = progress
        answer = self._answer(f'watch {revision}')
        if self.status == GONE:
            self.status = 0
        return answer

    def _answer(self, call: str) -> Result[StoreReading, PlatformError]:
        self.calls.append(call)
        gevent.sleep(0.02)
        if self.status:
            return Failure(PlatformError(status=self.status, message=''))
        return Success(reading(7))


def reading(revision: int) -> StoreReading:
    """Make what the store says at a revision."""
    main = StoredObject(name='main', revision=revision, spec={})
    return StoreReading(revision=revision, objects=[main])


@final
class _Followed:
    """A follower with its store and its replica."""

    def __init__(self) -> None:
        self.store = _Store()
        self.replica = ObjectReplica(
            kind=ROUTES_KIND,
            listener=lambda name, spec: None,
        )
        self.holds_watch = True
        self.leads = True
        self.follower = StoreFollower(
            store=self.store,
            replica=self.replica,
            clock=WallClock(),
            holds_watch=lambda: self.holds_watch,
            leads=lambda: self.leads,
        )
        self._stop = Event()

    def start(self) -> None:
        """Begin to follow."""
        self.running = gevent.spawn(self.follower.follow, self._stop)

    def stop(self) -> None:
        """End."""
        self.running.kill()


@pytest.fixture
def followed() -> Iterator[_Followed]:
    """Give a follower that a test starts."""
    followed = _Followed()
    yield followed
    followed.stop()


def test_list_comes_first(followed: _Followed):
    followed.start()
    wait_until(lambda: len(followed.store.calls) >= 2)
    assert followed.store.calls[:2] == ['list', 'watch 7']


def test_what_a_peer_gave_need_not_be_listed(followed: _Followed):
    followed.replica.catch_up(reading(5))
    followed.start()
    wait_until(lambda: followed.store.calls)
    assert followed.store.calls[0] == 'watch 5'


def test_gateway_that_need_not_watch_makes_no_call(followed: _Followed):
    followed.holds_watch = False
    followed.replica.catch_up(reading(5))
    followed.start()
    gevent.sleep(0.3)
    assert not followed.store.calls


def test_forgotten_history_is_listed_though_a_peer_gave(followed: _Followed):
    followed.replica.catch_up(reading(5))
    followed.store.status = GONE
    followed.start()
    wait_until(lambda: 'list' in followed.store.calls)
    assert followed.store.calls[:2] == ['watch 5', 'list']


def test_lost_store_is_asked_often_by_those_that_lead_only():
    assert retry_ms(200, leads=True) == 200
    assert retry_ms(200, leads=False) == 200
    assert retry_ms(4000, leads=True) == 800
    assert retry_ms(4000, leads=False) == 4000


def test_store_that_was_lost_is_found_again(followed: _Followed):
    followed.store.status = DOWN
    followed.start()
    wait_until(lambda: len(followed.store.calls) > 2)
    assert not followed.follower.has_answered(within_ms=60_000)
    followed.store.status = 0
    wait_until(lambda: followed.replica.revision)


def test_changes_in_quick_succession_are_read_together(followed: _Followed):
    followed.start()
    wait_until(lambda: len(followed.store.calls) >= 3)
    # The stand-in has a change at each watch: without a rest, hundreds.
    before, started_s = len(followed.store.calls), time.monotonic()
    gevent.sleep(0.5)
    rests = (time.monotonic() - started_s) * MS_PER_S / REST_MS
    assert len(followed.store.calls) - before <= rests + 2


def test_lost_store_is_asked_without_a_wait_until_it_is_back(
    followed: _Followed,
):
    followed.replica.catch_up(reading(5))
    followed.store.status = DOWN
    followed.start()
    wait_until(lambda: len(followed.store.brief) >= 3)
    assert followed.store.brief[:3] == [False, True, True]
    followed.store.status = 0
    wait_until(lambda: not followed.store.brief[-1])


def test_gateway_that_steps_in_hears_the_store_without_a_wait(
    followed: _Followed,
):
    followed.replica.catch_up(reading(5))
    followed.holds_watch = False
    followed.start()
    gevent.sleep(0.05)
    followed.holds_watch = True
    wait_until(lambda: len(followed.store.brief) >= 2)
    assert followed.store.brief[:2] == [True, False]


def test_store_is_heard_as_long_as_a_long_answer_comes(followed: _Followed):
    followed.start()
    wait_until(lambda: followed.store.brief)
    gevent.sleep(0.1)
    within_ms = 50
    assert not followed.follower.has_answered(within_ms)
    followed.store.progress()
    assert followed.follower.has_answered(within_ms)


def test_store_that_forgot_its_history_is_not_lost(followed: _Followed):
    heard: list[bool] = []
    list_all = followed.store.list_all

    def note_and_list(**named: Callable[[], None]) -> object:
        heard.append(followed.follower.has_answered(within_ms=1000))
        return list_all(**named)

    followed.store.list_all = note_and_list
    followed.replica.catch_up(reading(5))
    followed.store.status = GONE
    followed.start()
    wait_until(lambda: heard)
    assert heard == [True]
