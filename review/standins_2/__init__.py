"""Stand-ins of the cases 4 to 6: the platform's store, runners, and a small deployment."""
