"""Open-loop program load for a running system, and its report."""
