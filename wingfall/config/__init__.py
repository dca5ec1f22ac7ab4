"""This process's copy of the accepted configuration."""
