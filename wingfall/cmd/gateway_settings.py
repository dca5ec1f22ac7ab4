"""Reads a gateway's settings file and all that only its code can check."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from wingfall.errors import FieldFault
from wingfall.gateway.assembly import check_policy
from wingfall.settings.gateway_schema import GATEWAY_SCHEMA
from wingfall.settings.loader import load_settings

if TYPE_CHECKING:
    from types import SimpleNamespace


def load_gateway_settings(
    path: str,
) -> Result[SimpleNamespace, list[FieldFault]]:
    """Read and check a gateway's settings.

    :param path: the file.
    :returns: the settings, or all faults of the file.
    """
    return load_settings(path, GATEWAY_SCHEMA).bind(
        lambda settings: _check_names(path, settings),
    )


def _check_names(
    path: str,
    settings: SimpleNamespace,
) -> Result[SimpleNamespace, list[FieldFault]]:
    policy = check_policy(settings)
    if isinstance(policy, Success):
        return Success(settings)
    fault = FieldFault(
        source=path,
        line=1,
        field='policy',
        reason=policy.failure(),
    )
    return Failure([fault])
