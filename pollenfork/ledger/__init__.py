"""Idempotency records: each keyed request runs at most once."""
