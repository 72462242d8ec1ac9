"""Development tools: stand-ins and the demo. Not part of the installed package."""
