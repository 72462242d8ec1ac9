"""``python -m hibiscusdrum.platform`` runs the router."""

from hibiscusdrum.platform.main import main

main()
