"""A replicated log core, free of I/O, usable on its own.

`instance.Instance` joins the groups of one instance. Its caller passes in
messages and the time, and takes out of the `outbox` what to store, what to
send and, from each replica, what to apply. docs/reference/consensus.md
states the contract.
"""
