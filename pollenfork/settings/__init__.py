"""The settings tree: validation, revisions and propagation."""
