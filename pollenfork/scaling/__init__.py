"""How many runners of which kind there shall be, and where."""
