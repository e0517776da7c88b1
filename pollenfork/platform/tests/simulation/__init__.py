"""Whole sites of instances in one process, on a clock that only waits move."""
