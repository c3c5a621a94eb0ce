"""The platform's interfaces: its words are spoken and understood here and nowhere else."""
