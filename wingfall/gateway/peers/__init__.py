"""What gateways tell each other: loads, outcomes, parts kept, objects."""
