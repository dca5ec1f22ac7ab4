"""Wingfall: a router for language-model traffic with service levels."""

__version__ = '0.1.0'
