"""Which runners this instance can connect to, and who helps if it is none."""
