"""Analysis of the instances' logs: what happened to requests, and why."""
