"""Build and check the project; nothing here is shipped."""
