"""The entry: callers' requests, their programs and their upstreams."""
