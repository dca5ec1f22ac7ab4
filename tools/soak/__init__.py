"""A randomized soak of gateways as real processes, with faults from outside."""
