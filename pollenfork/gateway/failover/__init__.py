"""Lets requests go on at another runner while theirs is silent."""
