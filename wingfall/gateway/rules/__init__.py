"""The gateway's decisions: rules over typed inputs, without I/O or logs.

What a rule needs is handed to it, with times in milliseconds and lengths in
tokens. Only the retry budget keeps a state of its own. ``docs/DECISIONS.md``
lists all of them.
"""
