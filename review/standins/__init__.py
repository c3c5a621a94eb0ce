"""Stand-ins of the platform, the runners and the clients for the cases of the review."""
