"""Records in the store at which software versions streams begin.

What instances tell each other of streams is lost if all of them are killed at
once. `recorder` writes this instance's row before the first stream begins at a
version; `row_reader` reads all rows when nobody knows a stream that is taken
up. `start_proof` asks runners that are in doubt whether they are the processes
that their entries tell of.
"""
