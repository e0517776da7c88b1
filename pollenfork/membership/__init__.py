"""Peers: heartbeats, suspicion, incarnations and pressure exchange."""
