"""Clients of the platform: table, objects, instance list, weights."""
