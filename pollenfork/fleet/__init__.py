"""The runners of each service: who is there, how they fare, whom to choose."""
