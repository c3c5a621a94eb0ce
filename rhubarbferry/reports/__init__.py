"""Reports for operators: service-level objectives, lost jobs and the list of metrics."""
