"""Plans when refused callers return, so that runners can then serve them."""
