"""Evacuation of failure domains by operators."""
