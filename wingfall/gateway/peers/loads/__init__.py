"""Exchange of endpoint loads and request outcomes between gateways."""
