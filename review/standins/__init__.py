"""Stand-ins that the review's cases start; the standard library is enough."""
