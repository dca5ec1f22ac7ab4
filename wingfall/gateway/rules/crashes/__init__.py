"""Which requests end the endpoints that run them."""
