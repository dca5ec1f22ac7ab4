"""Programs for developers: demo, load, slopes and soak."""
