"""The program beside each endpoint."""
