"""Tokens that requests hold in the KV caches of runners."""
