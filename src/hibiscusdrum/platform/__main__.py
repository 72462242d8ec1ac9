"""``python -m hibiscusdrum.platform`` runs the router."""

import sys

# circuits imports pkg_resources, if available, to declare a namespace package, and works without it. The
# import takes a third of the startup time, so it is made to fail here.
sys.modules.setdefault("pkg_resources", None)

from hibiscusdrum.platform.main import main  # noqa: E402

sys.exit(main())
