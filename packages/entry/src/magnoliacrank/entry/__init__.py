"""An entry instance on the users' platform."""
