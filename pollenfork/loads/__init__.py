"""Exchange of loads, store status and findings among all instances."""
