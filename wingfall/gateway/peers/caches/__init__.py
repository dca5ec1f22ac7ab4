"""Retrieval of cached prompt parts from a peer or from engines."""
