"""Leases: exclusive, time-limited rights held by a row of the store."""
