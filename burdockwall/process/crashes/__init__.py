"""Requests that crash the endpoints that run them, known to all entry instances."""
