"""Access to the platform's services."""
