"""Exchange of loads, outcomes, cached prompt parts and objects by gateways."""
