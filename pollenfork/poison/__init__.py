"""Quarantine of requests that crash the runners they run on."""
