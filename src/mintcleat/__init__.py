"""A scheduler for agent programs: entry, sidecar and control roles."""
