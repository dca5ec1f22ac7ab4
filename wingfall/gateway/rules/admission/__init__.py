"""Admission of calls, refusals and retry delays of refused calls."""
