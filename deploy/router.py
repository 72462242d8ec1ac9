"""Starts the router with its settings file, which an argument or the environment names.

Until the event loop handles SIGHUP, that signal would end the process, so it is ignored before anything else
is imported. ``python3 -S`` leaves out the packages of the machine, which the router does not use.
"""

# The public module ``signal`` imports others first.
import _signal

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import runpy  # noqa: E402

runpy.run_module("hibiscusdrum.platform", run_name="__main__")
