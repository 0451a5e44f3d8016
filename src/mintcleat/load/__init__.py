"""An open-loop load generator for a running system, with a report."""
