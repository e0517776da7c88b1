"""The platform stand-in: table, objects, instance list, weights."""
