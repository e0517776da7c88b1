"""Who is served when, and who is refused: classes, queues, shedding."""
