"""``python -m hibiscusdrum.platform`` runs the router."""

import sys

# circuits declares a namespace through pkg_resources where that exists, and does without it otherwise. Its
# import takes a third of the time of a start.
sys.modules.setdefault("pkg_resources", None)

from hibiscusdrum.platform.main import main  # noqa: E402

sys.exit(main())
