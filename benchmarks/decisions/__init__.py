"""The decisions under load and faults, in virtual time."""
