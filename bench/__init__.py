"""Measurements; each module is a command: `python -m bench.path`.

Importing the package makes the sockets green, as in the daemon.
"""

import mintcleat.main as green

assert green
