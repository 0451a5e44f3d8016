"""The core of a Raft-like replicated log, without I/O.

`instance.Instance` holds the replicas of all groups on one instance. Its
driver passes in messages and the current time. It takes from the `outbox`
what to store and to send, and from each replica the entries to apply.
docs/reference/consensus.md states the contract.
"""
