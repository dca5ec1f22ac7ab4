"""Rules that spread requests over time and over gateways."""
