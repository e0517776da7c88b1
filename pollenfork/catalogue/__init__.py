"""Follows the tables of the platform's store."""
