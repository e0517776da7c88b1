"""Idempotency records: each request with a key runs at most once."""
