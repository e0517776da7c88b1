"""A randomized soak: real gateway processes, stand-ins, faults from outside.

`python -m pollenfork.platform.tests.soak --seeds 1-50` runs fifty seeds.
"""
