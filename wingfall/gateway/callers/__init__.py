"""The callers' side: their connections, early listening, readiness."""
