"""Handling of a call: admission, placement, attempts and the answer.

Applies the rules, uses connections to endpoints and writes the caller's reply.
"""
