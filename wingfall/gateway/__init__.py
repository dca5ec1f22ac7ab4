"""The gateway: a router for endpoints that have no agent beside them."""
