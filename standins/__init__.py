"""Small programs that take the place of outside systems in tests."""
