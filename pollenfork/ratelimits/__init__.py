"""Keeps to the request rates that runners set for all instances together."""
