"""Programs for developers: demo, load and slopes."""
