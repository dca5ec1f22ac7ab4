"""Transfer of stored objects between peers."""
