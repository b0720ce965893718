"""Schedule agent programs between callers and their endpoints."""

__version__ = "0.1.0"
