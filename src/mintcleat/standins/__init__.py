"""Small model engine and plain service for local runs and tests."""
