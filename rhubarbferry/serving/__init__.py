"""HTTP servers, the same for all interfaces of the project."""
