"""The endpoints' side: which there are, connections, and what runs there."""
