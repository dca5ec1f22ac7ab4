"""Plain data that all parts of the gateway share, and the platform's interface.

Imports nothing of the other packages of the gateway.
"""
