"""Who is taken in, who is refused, and when callers come back."""
