"""Caller side: HTTP connections, early listening and readiness."""
