"""Starts one role on a machine of the hosting platform.

    python -m mintcleat.launch ROLE [POLICY]

See `mintcleat.main.hosted` for the arguments.
"""

import signal


def main() -> None:
    """Runs the role that the command line names.

    SIGHUP, which asks for a reload of the settings, ends a process that has
    no handler for it yet. The imports take several tenths of a second, so it
    is ignored before them: the settings are read later in any case.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from mintcleat.main import hosted

    hosted.main()


if __name__ == "__main__":
    main()
