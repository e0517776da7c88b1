"""The HTTP front towards callers."""
