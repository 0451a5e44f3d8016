"""The configuration, the members and the registered upstreams."""
