"""Rate and concurrency of customers, divided over routers by seen demand.

Each router may use the part of a limit that its own demand has in the demand
of all routers it hears of. A small prior counts as demand everywhere, so that
shares add up to one also before anything was heard, and a router that a
customer turns to for the first time is not shut.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from returns.result import Failure, Result, Success

from wingfall.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.clock import Clock
    from wingfall.objects.customer import Customer

# Requests a second that each router counts for itself and for each other one,
# so that a customer without demand has a share everywhere.
_PRIOR_PER_S: Final = 0.5
# Part of a new second in the demand. Follows a change in some seconds.
_SMOOTHING: Final = 0.3
# Requests a second below which a customer is forgotten.
_FORGOTTEN_PER_S: Final = 0.01


@final
class Demand:
    """What one router sees of one customer."""

    __slots__ = ('customer', 'per_s')

    def __init__(self, *, customer: str, per_s: float) -> None:
        """Describe demand.

        :param customer: name of the customer.
        :param per_s: requests a second, refused ones too.
        """
        self.customer = customer
        self.per_s = per_s


@final
class Overuse:
    """Why a request of a customer is refused."""

    __slots__ = ('code', 'retry_after_ms')

    def __init__(self, *, code: str, retry_after_ms: int) -> None:
        """Describe the refusal.

        :param code: ``rate_limit`` or ``concurrency_limit``.
        :param retry_after_ms: when there is room again.
        """
        self.code = code
        self.retry_after_ms = retry_after_ms


class _Account:
    """What a router counts for one customer."""

    __slots__ = ('arrived', 'filled_ms', 'open', 'others', 'per_s', 'tokens')

    def __init__(self, *, now_ms: int) -> None:
        """Start without demand.

        :param now_ms: the time.
        """
        self.arrived = 0
        self.per_s = float()
        self.others = float()
        self.open = 0
        self.tokens = float(1)
        self.filled_ms = now_ms


@final
class CustomerLimits:
    """Admits requests of customers that have limits."""

    __slots__ = ('_accounts', '_clock', '_routers', '_ticked_ms')

    def __init__(self, *, clock: Clock) -> None:
        """Start alone.

        :param clock: the time.
        """
        self._clock = clock
        self._accounts: dict[str, _Account] = {}
        self._routers = 1
        self._ticked_ms = clock.now_ms()

    def admit(self, customer: Customer) -> Result[None, Overuse]:
        """Count a request, and admit it if there is room.

        :param customer: who sends it.
        :returns: success if it may run, to be ended by :meth:`release`; or
            which limit it meets.
        """
        if customer.requests_per_s is None and customer.concurrent is None:
            return Success(None)
        account = self._account(customer.name)
        account.arrived += 1
        share = self._share(account)
        if customer.concurrent is not None:
            allowed = max(1, int(customer.concurrent * share))
            if account.open >= allowed:
                return Failure(
                    Overuse(code='concurrency_limit', retry_after_ms=MS_PER_S),
                )
        if customer.requests_per_s is not None:
            rate = customer.requests_per_s * share
            self._fill(account, rate)
            if account.tokens < 1:
                wait_ms = (1 - account.tokens) / rate * MS_PER_S
                return Failure(
                    Overuse(code='rate_limit', retry_after_ms=int(wait_ms) + 1),
                )
            account.tokens -= 1
        account.open += 1
        return Success(None)

    def release(self, customer: Customer) -> None:
        """End a request that was admitted.

        :param customer: who sent it.
        """
        account = self._accounts.get(customer.name)
        if account is not None:
            account.open = max(0, account.open - 1)

    def tick(self) -> None:
        """Bring the demand up to date; call it each second."""
        now_ms = self._clock.now_ms()
        elapsed_s = (now_ms - self._ticked_ms) / MS_PER_S
        if elapsed_s <= 0:
            return
        self._ticked_ms = now_ms
        for name, account in list(self._accounts.items()):
            seen = account.arrived / elapsed_s
            account.arrived = 0
            account.per_s += (seen - account.per_s) * _SMOOTHING
            if account.per_s < _FORGOTTEN_PER_S and not account.open:
                self._accounts.pop(name)

    def demands(self) -> list[Demand]:
        """List the demand for other routers.

        :returns: customers with limits that are active here.
        """
        return [
            Demand(customer=name, per_s=account.per_s)
            for name, account in self._accounts.items()
        ]

    def hear(self, routers: int, demands: Iterable[Demand]) -> None:
        """Take what all other routers see.

        :param routers: routers in all, with this one.
        :param demands: their demands, a customer as often as it is seen.
        """
        self._routers = routers
        others: dict[str, float] = {}
        for demand in demands:
            known = others.get(demand.customer, 0)
            others[demand.customer] = known + demand.per_s
        for name, account in self._accounts.items():
            account.others = others.get(name, 0)

    def _account(self, name: str) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            account = _Account(now_ms=self._clock.now_ms())
            self._accounts[name] = account
        return account

    def _share(self, account: _Account) -> float:
        mine = account.per_s + _PRIOR_PER_S
        all_of_them = (
            account.per_s + account.others + _PRIOR_PER_S * self._routers
        )
        return mine / all_of_them

    def _fill(self, account: _Account, rate: float) -> None:
        # The bucket holds a second's worth, and always room for one.
        now_ms = self._clock.now_ms()
        earned = (now_ms - account.filled_ms) * rate / MS_PER_S
        account.tokens = min(max(1, rate), account.tokens + earned)
        account.filled_ms = now_ms
