"""Records in the store at which software versions streams begin.

What instances tell each other of streams is lost if all of them are killed at
once. `recorder` writes this instance's row before the first stream begins at a
version, and reads all rows when nobody knows a stream that is taken up.
`start_proof` asks runners, after such a loss, whether they are the processes
that their entries tell of.
"""
