"""Gives a peer the objects of the store that it lacks, and takes them."""
