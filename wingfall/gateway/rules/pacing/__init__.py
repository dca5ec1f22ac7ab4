"""How requests are spread over time and over gateways."""
