"""Placement of calls: choice of the pool, the endpoint and cache copies."""
