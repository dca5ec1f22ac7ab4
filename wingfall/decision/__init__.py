"""The decisions of routers and agents, as pure code with a clock passed in.

Those of gateways stand in :mod:`wingfall.gateway.rules`.
"""
