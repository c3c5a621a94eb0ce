"""The scheduler process: owns partitions and makes their scheduling decisions."""
