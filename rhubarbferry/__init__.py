"""A cluster scheduler for unlike workloads, and the coordination parts it is made of."""
