"""Replication of the platform's objects from its store, and their use."""
