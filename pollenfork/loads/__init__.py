"""What all instances together have under way at each runner."""
