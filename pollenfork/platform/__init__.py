"""The adapter to the operations platform: its names, formats and calls.

It holds no policy. Each module converts one kind of message to or from the
project's own types; no other package contains the platform's field names.
"""
