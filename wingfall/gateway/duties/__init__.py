"""Duties that one gateway at a time does for all."""
