"""Refuses requests in the order of their tiers while runners are overloaded."""
