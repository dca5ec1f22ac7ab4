"""The plain objects of the configuration."""
