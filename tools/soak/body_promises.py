"""What must hold in a soak for the bodies of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from standins.body_reading import body_of
from tools.soak.promises import promises

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.soak.site import SoakSite
    from tools.soak.traffic import Outcome


@promises.register('bodies_unmixed')
def bodies_unmixed(site: SoakSite, outcomes: list[Outcome]) -> Iterator[str]:
    """Where a body is due, an endpoint gets its bytes and no others."""
    for server in site.servers:
        for request in server.standin.reading.requests:
            sent = body_of(request.call_id, request.length)
            if request.body != sent[: len(request.body)]:
                yield f'{server.name} got other bytes in {request.call_id}'


@promises.register('answered_bodies_whole')
def answered_bodies_whole(
    site: SoakSite, outcomes: list[Outcome]
) -> Iterator[str]:
    """What an endpoint runs after its body has come is the whole request."""
    sent = {each.call_id: each.body_bytes for each in outcomes}
    for server in site.servers:
        for run in server.standin.runs:
            if not run.is_early and len(run.body) != sent[run.call_id]:
                yield f'{server.name} ran a part of {run.call_id}'
