"""The gateway: a router for endpoints that have no agent beside them.

``model`` is plain data that all parts share, and the platform's interface;
``knowledge`` is what is known of endpoints; ``rules`` are the decisions;
``endpoints`` and ``callers`` hold the connections of their sides; ``calls`` is
the way of one call; ``peers`` is what gateways tell each other;
``configuration`` follows the platform's store.
``application`` starts and stops all of it.
"""
