"""Logs of several instances, read to explain what became of a request."""
