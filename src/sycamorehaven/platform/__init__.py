"""Translation between the users' platform and this project's own types."""
