"""The way of one call: taken in, placed, attempted, answered.

Asks the rules, uses connections to endpoints, and writes to a caller's reply.
"""
