"""Which service a request goes to, for whom, and within which limits."""
