"""Where a call goes: which endpoint, beside which copies of its prompt."""
