"""Who may act alone on something, by a row of the store."""
