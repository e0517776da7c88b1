"""Choice of endpoint, concurrency limits, retries and hedges."""
