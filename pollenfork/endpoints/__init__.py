"""Endpoint management: health, load, draining, leases and orders."""
