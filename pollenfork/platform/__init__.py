"""The adapter to the operations platform: its names, formats and calls.

Nothing here decides. Each module decodes one kind of message into the
product's types, or encodes them, and no other package knows the spelling.
"""
