"""Cluster membership: heartbeats, failure detection and load exchange."""
