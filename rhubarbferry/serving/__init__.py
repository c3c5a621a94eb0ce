"""The HTTP server that all HTTP interfaces of the project use."""
