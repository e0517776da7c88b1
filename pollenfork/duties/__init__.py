"""What one instance at a time does for all."""
