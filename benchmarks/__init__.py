"""Measurements: each module prints its figures and writes JSON."""
