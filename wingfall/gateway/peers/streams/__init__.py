"""Exchange of the origins of streams between gateways."""
