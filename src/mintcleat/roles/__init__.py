"""Entry, sidecar and control: they join the cores to the ports."""
