"""The request rates that endpoints name for themselves, kept over all instances."""
