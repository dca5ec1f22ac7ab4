"""Translates the users' platform: its headers, paths and stored objects.

Its names are decoded here, into the types of :mod:`wingfall.gateway.model`."""
