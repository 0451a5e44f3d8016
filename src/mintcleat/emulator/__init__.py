"""A discrete-event model of a system under load, to compare policies."""
