"""Adapters between the hosting platform's protocols and mintcleat's types.

The platform has names and formats of its own for settings, requests and
upstreams. This package translates them and does nothing else: it makes no
decisions, holds no durable state and retries nothing. The platform's names
appear in no other package.
"""
