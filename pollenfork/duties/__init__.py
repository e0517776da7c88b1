"""Duties that one instance at a time performs on behalf of all."""
