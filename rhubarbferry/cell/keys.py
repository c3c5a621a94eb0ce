"""Keys and key prefixes of the cell's data in the store.

All keys that the owner of the cell watches are under one prefix, so that one watch delivers their
changes in the order of their revisions. An owner whose key was removed or replaced therefore
receives this change before any job accepted afterwards, and never starts a job of its successor.
"""

CELL = "cell/"
CONTROL = "cell/control/"
OWNER = "cell/control/owner"
MEMBERS = "cell/control/members/"
JOBS = "cell/work/jobs/"
CANCELS = "cell/work/cancels/"
# States of jobs in progress. A new owner reads all of them before it schedules anything.
STATES = "state/"
# Phases of ended jobs. They outnumber jobs in progress and have a prefix of their own, so that a
# takeover does not wait for reading them.
ENDED = "ended/"
ROSTER = "roster"
