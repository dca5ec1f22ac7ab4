"""Tests of wingfall."""
