"""Forwards streams of events: each event once, in order, and nothing else.

`splitter` cuts reads into events and tells bytes that are none. `progress`
keeps which events a caller has, and what each run of its stream may add.
"""
