"""Shared set-up: green sockets, and hypothesis with fixed examples."""

import hypothesis

# Importing it makes the sockets green.
import mintcleat.main as green

assert green

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("ci")
