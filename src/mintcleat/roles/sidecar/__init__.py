"""The sidecar: admission control and execution in front of one upstream."""
