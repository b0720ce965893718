"""Endpoints that take few requests for a time: what is known of them, and by whom."""
