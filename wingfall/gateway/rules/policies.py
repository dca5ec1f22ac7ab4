"""Policies that are selected by name in the settings, one of each kind.

Each kind has a registry in the module of its rules; baselines stay selectable.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from returns.iterables import Fold
from returns.result import Success

from wingfall.gateway.knowledge.engine_speeds import read_rates
from wingfall.gateway.knowledge.start_estimates import start_estimates
from wingfall.gateway.rules.admission.early_refusal import admissions
from wingfall.gateway.rules.pacing.rate_share import rate_shares
from wingfall.gateway.rules.placement.cache_transfer import cache_transfers
from wingfall.gateway.rules.placement.endpoint_choice import placements
from wingfall.gateway.rules.placement.engine_groups import engine_groups
from wingfall.gateway.rules.placement.shared_read import shared_reads
from wingfall.gateway.rules.placement.stream_backup import stream_backups

if TYPE_CHECKING:
    from types import SimpleNamespace

    from returns.result import Result

    from wingfall.gateway.knowledge.engine_speeds import RatesFactory
    from wingfall.gateway.knowledge.start_estimates import (
        StartEstimatesFactory,
    )
    from wingfall.gateway.rules.admission.early_refusal import Admission
    from wingfall.gateway.rules.pacing.rate_share import RateShare
    from wingfall.gateway.rules.placement.cache_transfer import CacheTransfer
    from wingfall.gateway.rules.placement.endpoint_choice import Placement
    from wingfall.gateway.rules.placement.engine_groups import EngineGroupPolicy
    from wingfall.gateway.rules.placement.shared_read import SharedRead
    from wingfall.gateway.rules.placement.stream_backup import StreamBackup


@final
class Policies:
    """The selected policy of each kind."""

    __slots__ = (
        'admission',
        'cache_transfer',
        'engine_groups',
        'placement',
        'rate_share',
        'read_rates',
        'shared_read',
        'start_estimates',
        'stream_backup',
    )

    def __init__(
        self,
        *,
        placement: Placement,
        admission: Admission,
        cache_transfer: CacheTransfer,
        shared_read: SharedRead,
        stream_backup: StreamBackup,
        rate_share: RateShare,
        engine_groups: EngineGroupPolicy,
        read_rates: RatesFactory,
        start_estimates: StartEstimatesFactory,
    ) -> None:
        """Initialize the policies.

        :param placement: chooses endpoints.
        :param admission: refuses prompts that would start too late.
        :param cache_transfer: chooses the engine to copy cached parts from.
        :param shared_read: returns how long prompts wait for a shared part.
        :param stream_backup: decides which streams a second engine backs up.
        :param rate_share: divides the limits of endpoints among gateways.
        :param engine_groups: reserves engines for streams with short gaps.
        :param read_rates: creates the estimator of prefill rates.
        :param start_estimates: creates the corrector of first event estimates.
        """
        self.placement = placement
        self.admission = admission
        self.cache_transfer = cache_transfer
        self.shared_read = shared_read
        self.stream_backup = stream_backup
        self.rate_share = rate_share
        self.engine_groups = engine_groups
        self.read_rates = read_rates
        self.start_estimates = start_estimates


def find_policies(names: SimpleNamespace) -> Result[Policies, str]:
    """Return the policies that are selected in the settings.

    :param names: section ``policy`` of the settings.
    :returns: the policies, or a message with the valid names.
    """
    found = {
        'placement': placements.find(names.placement),
        'admission': admissions.find(names.admission),
        'cache_transfer': cache_transfers.find(names.cache_transfer),
        'shared_read': shared_reads.find(names.shared_read),
        'stream_backup': stream_backups.find(names.stream_backup),
        'rate_share': rate_shares.find(names.rate_share),
        'engine_groups': engine_groups.find(names.engine_groups),
        'read_rates': read_rates.find(names.read_rates),
        'start_estimates': start_estimates.find(names.start_estimates),
    }
    return Fold.collect(found.values(), Success(())).map(
        lambda rules: Policies(**dict(zip(found, rules, strict=True))),
    )
