"""Requests that end the runners that run them."""
