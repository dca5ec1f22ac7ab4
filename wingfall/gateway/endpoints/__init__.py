"""The endpoints' side: connections, and the events of their streams."""
