"""Relay of endpoints' answers; resumes or continues those that break."""
