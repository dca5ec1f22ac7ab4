"""What must hold in a soak whose endpoints say what they need."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.soak.promises import promises
from tools.soak.signals import MOST_IN_REST, SignalJudge, allowed

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.soak.site import Server, SoakSite
    from tools.soak.traffic import Outcome


@promises.register('endpoint_limits_hold')
def endpoint_limits_hold(
    site: SoakSite,
    outcomes: list[Outcome],
) -> Iterator[str]:
    """An endpoint that names a limit gets no more from gateways it told."""
    for server in site.servers:
        judge = _judge(site, server, outcomes)
        for spell in judge.spells():
            worst = judge.worst_window(spell)
            if worst > allowed(spell.rate):
                yield (
                    f'{server.name} took {spell.rate} a second and got'
                    f' {worst} in some seconds'
                )


@promises.register('rests_hold')
def rests_hold(site: SoakSite, outcomes: list[Outcome]) -> Iterator[str]:
    """An endpoint gets nothing from a gateway that it asked for rest."""
    for server in site.servers:
        most = _judge(site, server, outcomes).most_in_rest()
        if most > MOST_IN_REST:
            yield f'{server.name} asked for rest and got {most} requests'


@promises.register('leaving_holds')
def leaving_holds(site: SoakSite, outcomes: list[Outcome]) -> Iterator[str]:
    """An endpoint that said that it leaves gets nothing new."""
    sent_s = {each.call_id: each.sent_s for each in outcomes}
    for server in site.servers:
        late = _judge(site, server, outcomes).late_after_leaving(sent_s)
        if late:
            yield f'{server.name} said that it leaves and got {late} requests'


def _judge(
    site: SoakSite,
    server: Server,
    outcomes: list[Outcome],
) -> SignalJudge:
    return SignalJudge(
        ledger=server.standin.signals,
        gateways={each.call_id: each.gateway for each in outcomes},
        disturbed=site.disturbed,
        mixed_s=site.mixed_s,
        started={
            name: gateway.started_s for name, gateway in site.gateways.items()
        },
    )
