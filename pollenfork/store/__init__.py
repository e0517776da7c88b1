"""Edges to the platform: table, objects, instance list, weights."""
