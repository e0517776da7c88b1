"""Knows which software version of a service's runners began a stream.

What two versions write doesn't fit together, so a stream may go on only at the
version that began it. Its caller may take it up at any instance, also if the
one that began it has ended; see docs/design/stream-versions.md.
"""
