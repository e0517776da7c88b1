"""Which tiers of a service may begin requests while it is overloaded."""
