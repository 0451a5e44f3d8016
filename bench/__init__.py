"""Measurement programs, run as `python -m bench.path`.

Importing the package makes sockets green by eventlet, as in the daemon.
"""

import mintcleat.main as green

assert green
