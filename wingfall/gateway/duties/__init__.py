"""Duties that one gateway at a time performs for all gateways."""
