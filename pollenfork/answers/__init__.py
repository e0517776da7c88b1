"""Relay of answers from endpoints, kept whole: resume and continue."""
