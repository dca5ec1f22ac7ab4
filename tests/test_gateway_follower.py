"""Frequency and kind of the calls of a gateway to the store."""

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
    WATCH_PAUSE_MS,
    StoreFollower,
    retry_delay_ms,
)
from wingfall.gateway.configuration.replica import ROUTES_KIND, ObjectReplica
from wingfall.gateway.model.object_store import StoredObject, StoreResponse

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

HTTP_GONE = 410
MAX_GAP_MS = 1000
HTTP_UNAVAILABLE = 503


@final
class _Store:
    """Store that answers as a test sets it, and records the calls."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        # Whether each watch was to return at once.
        self.brief: list[bool] = []
        self.status = 0
        self.delay_s = 0.02
        # Called by a long answer as it comes in.
        self.progress: Callable[[], None] = lambda: None

    def list_all(
        self,
        *,
        progress: Callable[[], None],
    ) -> Result[StoreResponse, PlatformError]:
        return self._answer('list')

    def watch(
        self,
        revision: int,
        *,
        progress: Callable[[], None],
        brief: bool = False,
    ) -> Result[StoreResponse, PlatformError]:
        self.brief.append(brief)
        self.progress = progress
        answer = self._answer(f'watch {revision}')
        if self.status == HTTP_GONE:
            self.status = 0
        return answer

    def _answer(self, call: str) -> Result[StoreResponse, PlatformError]:
        self.calls.append(call)
        gevent.sleep(self.delay_s)
        if self.status:
            return Failure(PlatformError(status=self.status, message=''))
        return Success(make_reading(7))


def make_reading(revision: int) -> StoreResponse:
    """Return the answer of the store at a revision."""
    main = StoredObject(name='main', revision=revision, spec={})
    return StoreResponse(revision=revision, objects=[main])


@final
class _FollowerSite:
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
            max_gap_ms=MAX_GAP_MS,
            holds_watch=lambda: self.holds_watch,
            leads=lambda: self.leads,
        )
        self._stop = Event()

    def start(self) -> None:
        """Start the follower."""
        self.running = gevent.spawn(self.follower.follow, self._stop)

    def stop(self) -> None:
        """Stop the follower."""
        self.running.kill()


@pytest.fixture
def site() -> Iterator[_FollowerSite]:
    """Return a follower that the test starts."""
    site = _FollowerSite()
    yield site
    site.stop()


def test_follower_lists_before_it_watches(site: _FollowerSite):
    site.start()
    wait_until(lambda: len(site.store.calls) >= 2)
    assert site.store.calls[:2] == ['list', 'watch 7']


def test_objects_from_a_peer_are_not_listed_again(site: _FollowerSite):
    site.replica.apply_peer_changes(make_reading(5))
    site.start()
    wait_until(lambda: site.store.calls)
    assert site.store.calls[0] == 'watch 5'


def test_gateway_off_watch_duty_makes_no_call(site: _FollowerSite):
    site.holds_watch = False
    site.replica.apply_peer_changes(make_reading(5))
    site.start()
    gevent.sleep(0.3)
    assert not site.store.calls


def test_dropped_history_is_listed_despite_peer_objects(site: _FollowerSite):
    site.replica.apply_peer_changes(make_reading(5))
    site.store.status = HTTP_GONE
    site.start()
    wait_until(lambda: 'list' in site.store.calls)
    assert site.store.calls[:2] == ['watch 5', 'list']


def test_only_leading_gateways_retry_a_lost_store_often():
    assert retry_delay_ms(200, leads=True) == 200
    assert retry_delay_ms(200, leads=False) == 200
    assert retry_delay_ms(4000, leads=True) == 800
    assert retry_delay_ms(4000, leads=False) == 4000


def test_follower_recovers_when_a_lost_store_is_back(site: _FollowerSite):
    site.store.status = HTTP_UNAVAILABLE
    site.start()
    wait_until(lambda: len(site.store.calls) > 2)
    assert not site.follower.has_answered(within_ms=60_000)
    site.store.status = 0
    wait_until(lambda: site.replica.revision)


def test_changes_in_quick_succession_share_a_call(site: _FollowerSite):
    site.start()
    wait_until(lambda: len(site.store.calls) >= 3)
    # The stand-in has a change at each watch: without a pause, hundreds.
    before, started_s = len(site.store.calls), time.monotonic()
    gevent.sleep(0.5)
    pauses = (time.monotonic() - started_s) * MS_PER_S / WATCH_PAUSE_MS
    assert len(site.store.calls) - before <= pauses + 2


def test_watches_of_a_lost_store_are_brief(
    site: _FollowerSite,
):
    site.replica.apply_peer_changes(make_reading(5))
    site.store.status = HTTP_UNAVAILABLE
    site.start()
    wait_until(lambda: len(site.store.brief) >= 3)
    assert site.store.brief[:3] == [False, True, True]
    site.store.status = 0
    wait_until(lambda: not site.store.brief[-1])


def test_first_watch_after_a_takeover_is_brief(
    site: _FollowerSite,
):
    site.replica.apply_peer_changes(make_reading(5))
    site.holds_watch = False
    site.start()
    gevent.sleep(0.05)
    site.holds_watch = True
    wait_until(lambda: len(site.store.brief) >= 2)
    assert site.store.brief[:2] == [True, False]


def test_progress_of_a_long_answer_counts_as_answered(site: _FollowerSite):
    site.start()
    wait_until(lambda: site.store.brief)
    gevent.sleep(0.1)
    within_ms = 50
    assert not site.follower.has_answered(within_ms)
    site.store.progress()
    assert site.follower.has_answered(within_ms)


def test_store_that_dropped_its_history_has_answered(site: _FollowerSite):
    answered: list[bool] = []
    list_all = site.store.list_all

    def record_and_list(**named: Callable[[], None]) -> object:
        answered.append(site.follower.has_answered(within_ms=1000))
        return list_all(**named)

    site.store.list_all = record_and_list
    site.replica.apply_peer_changes(make_reading(5))
    site.store.status = HTTP_GONE
    site.start()
    wait_until(lambda: answered)
    assert answered == [True]


def assert_followed_since(site: _FollowerSite, since_ms: int) -> None:
    """Check that no time before counts as followed, once the store is."""
    wait_until(lambda: site.follower.followed_ms)
    followed_ms = site.follower.followed_ms
    assert followed_ms <= WallClock().now_ms() - since_ms


@pytest.fixture
def following(site: _FollowerSite) -> _FollowerSite:
    """Return a follower that has followed the store for a while."""
    site.start()
    wait_until(lambda: site.follower.followed_ms > 300)
    return site


def test_time_followed_begins_anew_after_a_lost_history(
    following: _FollowerSite,
):
    since_ms = WallClock().now_ms()
    following.store.status = HTTP_GONE
    wait_until(lambda: following.store.calls.count('list') == 2)
    wait_until(lambda: following.store.calls[-1] != 'list')
    assert_followed_since(following, since_ms)


def test_time_followed_ends_with_a_lost_store(following: _FollowerSite):
    since_ms = WallClock().now_ms()
    following.store.status = HTTP_UNAVAILABLE
    wait_until(lambda: not following.follower.followed_ms)
    following.store.status = 0
    assert_followed_since(following, since_ms)


def test_time_followed_ends_with_the_watch(following: _FollowerSite):
    since_ms = WallClock().now_ms()
    following.holds_watch = False
    wait_until(lambda: not following.follower.followed_ms)
    following.holds_watch = True
    assert_followed_since(following, since_ms)


def test_time_followed_begins_anew_after_a_late_answer(
    following: _FollowerSite,
):
    since_ms = WallClock().now_ms()
    following.store.delay_s = MAX_GAP_MS / 1000 + 0.5
    wait_until(lambda: not following.follower.followed_ms)
    following.store.delay_s = 0.02
    assert_followed_since(following, since_ms)
