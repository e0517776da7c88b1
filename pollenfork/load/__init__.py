"""Open-loop load and its report: attainment, goodput, wasted work."""
