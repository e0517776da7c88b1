"""Sends a stream that goes on to a runner of the version that began it.

`origin_directory` tells other instances at which software version a stream
began, and asks them by `origin_searches` when a caller takes one up;
`version_pin` keeps to it while one request is served. `runner_continuity`
observes from connections whether the process that a runner's entry tells of
may have ended; `doubt_exchange` asks other instances for what they observed
before this one started.
"""
