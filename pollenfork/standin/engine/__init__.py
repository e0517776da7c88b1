"""The model engine stand-in: batching core and HTTP front."""
