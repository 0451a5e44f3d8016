"""The sidecar: the gate in front of one upstream."""
