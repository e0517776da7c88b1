"""Keeps brittle runners from having to refuse requests."""
