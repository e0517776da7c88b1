"""Learns how fast each runner generates."""
