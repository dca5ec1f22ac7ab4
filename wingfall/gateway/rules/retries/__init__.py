"""Whether a call is tried again, and how long an attempt may take."""
