"""Where things lie in the store.

All that the owner of the work follows lies under one prefix, so that one watch shows it in the
order in which it happened. An owner that has lost its key learns of that before it sees any job
that was accepted afterwards, and so never starts a job that belongs to its successor.
"""

CELL = "cell/"
CONTROL = "cell/control/"
OWNER = "cell/control/owner"
MEMBERS = "cell/control/members/"
JOBS = "cell/work/jobs/"
CANCELS = "cell/work/cancels/"
# States of jobs in progress. A new owner reads all of them before it can decide.
STATES = "state/"
# Phases of jobs that have ended. They outnumber the jobs in progress, and no owner waits for them.
ENDED = "ended/"
ROSTER = "roster"
