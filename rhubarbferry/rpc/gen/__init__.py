__all__ = ['ttypes', 'constants', 'Scheduler', 'Guard', 'Worker', 'Peer']
