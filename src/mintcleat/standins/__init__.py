"""Stand-ins for a model engine and a plain service in local runs and tests."""
