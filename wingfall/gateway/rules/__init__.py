"""Decision rules of the gateway over typed inputs, without I/O or logging.

All inputs of a rule are parameters, with times in milliseconds and lengths in
tokens. Only the retry budget has a state of its own. ``docs/DECISIONS.md``
lists all rules.
"""
