"""Forecasts when a runner's answer reaches the caller, and places by it."""
