"""``python -m hibiscusdrum.platform`` runs the router."""

import signal
import sys

# Until the event loop handles it, SIGHUP would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# circuits imports pkg_resources, if available, to declare a namespace package, and works without it. The
# import takes a third of the startup time, so it is made to fail here.
sys.modules.setdefault("pkg_resources", None)

from hibiscusdrum.platform.main import main  # noqa: E402

sys.exit(main())
