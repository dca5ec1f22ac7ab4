"""Ends of attempts at endpoints, and of calls whatever their attempts do."""

from __future__ import annotations

import enum


class AttemptEnd(enum.StrEnum):
    """Outcomes of an attempt, as named in logs and metrics."""

    answered = 'answered'
    failed = 'failed'  # A complete answer that reports a failed run.
    not_sent = 'not_sent'  # No connection was established.
    held = 'held'  # The endpoint is withheld; nothing was sent.
    not_run = 'not_run'  # The endpoint proved that the request did not run.
    lost = 'lost'  # The connection broke before an answer.
    late = 'late'  # No first byte within the attempt's timeout.
    cut = 'cut'  # The stream broke after events were forwarded.


class CallEndError(Exception):
    """The call ends: its caller has left, or it can't be answered any more."""
