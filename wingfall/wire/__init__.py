"""Messages between wingfall's own processes."""
