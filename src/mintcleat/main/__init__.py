"""Composition root and the entry points of the daemon and the CLI.

Importing it makes the standard library's sockets and locks green, before any
other module can take hold of the blocking ones.
"""

import warnings

# eventlet says at each import that it is deprecated; the risk is weighed in
# docs/design/001-house-style-and-brief.md. Only that warning is silenced.
warnings.filterwarnings("ignore", message=r"(?s).*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()
