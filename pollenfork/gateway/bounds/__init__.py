"""Bounds on what peers may send before it becomes a message."""
