"""The groups that keep programs."""
