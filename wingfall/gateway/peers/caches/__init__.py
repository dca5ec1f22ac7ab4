"""How a gateway learns what engines cache, from a peer or from engines."""
