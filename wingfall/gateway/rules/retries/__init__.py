"""Retries of calls, and timeouts of their attempts."""
