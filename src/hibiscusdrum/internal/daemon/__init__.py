"""Services of the daemon that runs beside each target."""
