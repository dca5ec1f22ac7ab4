"""Detection and blocking of requests that crash endpoints."""
