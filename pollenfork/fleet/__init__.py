"""The runners of each service: membership, observed state and selection."""
