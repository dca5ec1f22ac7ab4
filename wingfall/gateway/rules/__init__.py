"""The gateway's decisions: pure rules over typed inputs.

Nothing here reads a socket, sends or logs. What a rule needs is handed to it,
with times in milliseconds and lengths in tokens; what it has learned it keeps.
"""
