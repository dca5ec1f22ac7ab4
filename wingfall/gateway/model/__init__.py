"""Data classes shared by all parts of the gateway, and the platform interface.

Imports nothing from the other packages of the gateway.
"""
