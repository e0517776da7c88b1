"""Admission of requests: limits, queues, fairness and load shedding."""
