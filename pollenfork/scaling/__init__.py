"""Autoscaling: how many runners of each kind to order, and where."""
