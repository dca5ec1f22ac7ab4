"""The decisions, as pure code with a clock passed in."""
