"""Stand-ins and scripts of the second review."""
