"""Connections to endpoints and the event streams that arrive on them."""
