"""Decides which connections to runners are kept, and which are preferred."""
