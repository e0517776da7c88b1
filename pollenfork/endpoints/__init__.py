"""State of the endpoints: health, load, leaving, leases and orders."""
