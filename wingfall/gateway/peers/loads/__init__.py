"""What gateways tell each other of the work that they have sent."""
