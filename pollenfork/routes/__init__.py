"""Routing: the service, account and limits of each request."""
