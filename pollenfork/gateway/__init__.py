"""The data path: callers' connections, runners' connections, attempts."""
