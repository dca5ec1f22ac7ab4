"""The gateway: a router for endpoints that have no agent beside them.

``model`` has the plain data that all parts share, and the platform's interface;
``knowledge`` the state of endpoints; ``rules`` the decisions; ``endpoints`` and
``callers`` the connections of their sides; ``calls`` the processing of a call;
``peers`` the exchange between gateways; ``configuration`` the replication of
the platform's store. ``application`` starts and stops all parts.
"""
