"""Open-loop load generator that reports attainment, goodput and waste."""
