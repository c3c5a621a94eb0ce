/*
 * A change of the owner of a cell: the owner's key and lease in the store, tickets, two hosts.
 *
 * Process B replaces the owner's key at the request of process A, whose answer may be lost and
 * whose watch may stay silent. Job 0 was accepted before, job 1 after the change. All is
 * asynchronous: every step may come at any time or never, so a pause, a cut or a lost answer is a
 * step that does not come. Waiting for time to pass is a condition on what that time ends. A run
 * of A may lapse at any time; one that B has found or started is extended. A start of A may be
 * late without bound; its ticket holds for the incarnation that the host has when it is issued.
 * Each host may restart once under its id; it has seen no fence number then.
 *
 * Checked: no job runs on two hosts at the same time.
 *
 * Assumed: no host restarts between its first answer to B and the end of A's last action.
 * MUT_RESTART takes this out. A start that A then sends is taken by a host that has forgotten B.
 *
 * Mutants (each must be refuted):
 *   MUT_NO_REVOCATION  B leaves A's lease, and counts its wait from the change of the key
 *   MUT_MIXED_PAGES    A takes a job of a later page that is newer than the page with the key
 *   MUT_WATCH_GAP      a watch delivers a later change and leaves out an earlier one
 *   MUT_NO_WAIT        B resumes job 0 before the hosts of the roster have answered
 *   MUT_EARLY_CONFIRM  a report of a new incarnation confirms the host, its runs are not adopted
 *   MUT_NO_FENCE       a host takes a start with a fence number lower than it has seen
 *   MUT_RESTART        a host that has answered B restarts while A acts
 */
#define HOSTS 2
#define NONE 255
#define AT(j, h) ((j) * HOSTS + (h))
#define OTHER(h) (1 - (h))

/* the store */
bool replaced;             /* the owner's key is B's */
bool a_lease = true;
bool revoked;              /* B knows that A's lease has ended */
bool accepted;             /* job 1 */

/* A, the former owner */
bool a_holds = true;       /* by its own clock its lease holds */
bool a_ended;              /* it has noticed the end of its ownership */
bool a_page;               /* it has read the page with its own key, and no later page yet */
bool a_knows;              /* it has taken job 1 */
byte a_host[2] = NONE;     /* where it has started a job */

/* B, the new owner */
bool heard[HOSTS];
byte listed[HOSTS];        /* incarnation on B's roster */
byte b_host[2] = NONE;

/* the hosts */
byte incarnation[HOSTS];
byte seen[HOSTS];          /* highest fence number: 1 of A, 2 of B */
byte runs[4];              /* 0 none, 1 started by A, 2 known to B */
byte flying[4];            /* start of A on its way: 0 none, else 1 + incarnation of its ticket */

#define A_ACTS (!a_ended && a_holds)
#define A_MAY_ACT (!a_ended && (a_holds || a_lease))

/* Nothing of A can run or start on a host that has not answered B. */
#define LAPSED(h) (runs[AT(0,h)] != 1 && runs[AT(1,h)] != 1 && !flying[AT(0,h)] && !flying[AT(1,h)])
#ifdef MUT_NO_REVOCATION
#define GIVEN_UP(h) LAPSED(h)
#else
#define GIVEN_UP(h) (revoked && !a_holds && LAPSED(h))
#endif
#ifdef MUT_NO_WAIT
#define SETTLED(h) true
#else
#define SETTLED(h) (heard[h] || GIVEN_UP(h))
#endif

inline begin(j, h, by) {
    assert(runs[AT(j, OTHER(h))] == 0);
    runs[AT(j, h)] = by
}

proctype former(byte h) {
    do
    :: atomic { a_holds -> a_holds = false }
    :: atomic { (a_lease && !a_ended) -> a_holds = true }
    /* The store lets the lease expire only after its holder's own clock has. */
    :: atomic { (a_lease && !a_holds) -> a_lease = false }
    /* The answer of B, or the change of the key in the watch. */
    :: atomic { replaced -> a_ended = true }
#ifdef MUT_WATCH_GAP
    :: atomic { (accepted && !a_ended) -> a_knows = true }
#endif
    /* A listing. Job 1 is newer than a page on which the key is still A's. */
    :: atomic { (!a_ended && !a_page) ->
            if
            :: replaced -> a_ended = true
            :: else -> a_page = true
            fi }
    :: atomic { a_page -> a_page = false;
#ifdef MUT_MIXED_PAGES
            a_knows = a_knows || accepted
#endif
            }
    :: atomic { (A_ACTS && a_host[0] == NONE) ->
            select(h : 0 .. 1);
            a_host[0] = h; flying[AT(0,h)] = 1 + incarnation[h]; h = 0 }
    :: atomic { (A_ACTS && a_knows && a_host[1] == NONE) ->
            select(h : 0 .. 1);
            a_host[1] = h; flying[AT(1,h)] = 1 + incarnation[h]; h = 0 }
    od
}

inline adopt(j, h) {
    if
    :: runs[AT(j,h)] == 1 -> runs[AT(j,h)] = 2; b_host[j] = h
    :: else -> skip
    fi
}

inline forget(j, h) {
    if
    :: b_host[j] == h -> b_host[j] = NONE
    :: else -> skip
    fi
}

/* B polls a host, with its own fence number. */
inline poll(h) {
    seen[h] = 2;
    if
    :: listed[h] == incarnation[h] -> adopt(0, h); adopt(1, h); heard[h] = true
    :: else ->
            forget(0, h); forget(1, h);
            listed[h] = incarnation[h];
#ifdef MUT_EARLY_CONFIRM
            heard[h] = true
#else
            heard[h] = false
#endif
    fi
}

/* B starts a job on a host that has answered as the incarnation on the roster. */
inline start(j, h) {
    if
    :: (heard[h] && listed[h] == incarnation[h]) -> b_host[j] = h; begin(j, h, 2)
    :: else -> skip
    fi
}

proctype successor(byte h) {
    atomic { replaced = true };
    do
    :: atomic { accepted = true }
#ifndef MUT_NO_REVOCATION
    :: atomic { !revoked -> a_lease = false; revoked = true }
#endif
    :: atomic { select(h : 0 .. 1); poll(h); h = 0 }
    :: atomic { (b_host[0] == NONE && SETTLED(0) && SETTLED(1)) ->
            select(h : 0 .. 1); start(0, h); h = 0 }
    :: atomic { (accepted && b_host[1] == NONE) ->
            select(h : 0 .. 1); start(1, h); h = 0 }
    od
}

inline deliver(j, h) {
    if
#ifndef MUT_NO_FENCE
    :: seen[h] > 1 -> a_ended = true
#endif
    :: else ->
            if
            :: (flying[AT(j,h)] == 1 + incarnation[h] && runs[AT(j,h)] == 0) ->
                    seen[h] = (seen[h] > 1 -> seen[h] : 1);
                    begin(j, h, 1)
            :: else -> skip          /* no valid ticket, or it runs there */
            fi
    fi;
    flying[AT(j,h)] = 0
}

proctype host(byte h) {
    do
    :: atomic { flying[AT(0,h)] -> deliver(0, h) }
    :: atomic { flying[AT(1,h)] -> deliver(1, h) }
    /* The lease of a run ends, or its order is refused for its deadline. */
    :: atomic { runs[AT(0,h)] == 1 -> runs[AT(0,h)] = 0 }
    :: atomic { runs[AT(1,h)] == 1 -> runs[AT(1,h)] = 0 }
    :: atomic { flying[AT(0,h)] -> flying[AT(0,h)] = 0 }
    :: atomic { flying[AT(1,h)] -> flying[AT(1,h)] = 0 }
    :: atomic { (incarnation[h] == 0
#ifndef MUT_RESTART
            && !(heard[h] && A_MAY_ACT)
#endif
            ) -> incarnation[h] = 1; seen[h] = 0; runs[AT(0,h)] = 0; runs[AT(1,h)] = 0 }
    od
}

init {
    atomic { run former(0); run successor(0); run host(0); run host(1) }
}
