/*
 * Changes of the guard set of one runner partition, with one takeover at any point of them.
 *
 * An old owner and its successor, four frontends, one store. The set is guards 0 to 2 or guards
 * 1 to 3, and each change makes a new version; the table with owner and set is one value of the
 * store. All is asynchronous, as in ownership.pml: a pause, a cut or an outage is a step that
 * does not come. A frontend that starts anew has another name: the old one answers no more, which
 * is again a step that does not come.
 *
 * A set is replaced when a majority of it has closed its version and the promises that these had
 * open have run out. Or it is marked as closing, and replaced once the old owner can't act on its
 * promises: it has read the table since, or not for the longest extension and has stopped.
 *
 * A planned hand-over ends the old owner's tenure for good, before its lease does, and the guards
 * are told: each that hears of it drops its promise.
 *
 * Checked: never two that may grant. The successor counts as granting for good once it has
 * adopted, so what it is promised itself is left out.
 *
 * Mutants (each must be refuted):
 *   MUT_NO_CLOSE     a set is replaced without the word of its majority
 *   MUT_MIXED_SETS   promises given under one version count under the next
 *   MUT_SAME_GUARD   a frontend that starts anew keeps its name, and knows nothing any more
 *   MUT_NO_WAIT_OUT  promises that are open when a guard closes are not waited out
 *   MUT_NO_STOP      a closing set is replaced at once
 *   MUT_GIVE_UP      promises are given up by an owner that goes on
 */
#ifndef MAX_VERSION
#define MAX_VERSION 3
#endif
#define G 4
#define MAJORITY 2
#define IN(s, g) (((s) == 0 && (g) <= 2) || ((s) == 1 && (g) >= 1))

/* the table in the store */
bool taken_over;
byte version = 1;
bool members;              /* 0: guards 0 to 2, 1: guards 1 to 3 */
bool closing;
bool lease = true;         /* of the old owner, as the store holds it */

/* the old owner */
bool own_lease = true;
bool knows;                /* it has read that it is no owner any more */
byte view = 1;             /* the version it counts by */
bool view_members;
bool view_closing;
bool gave_up;              /* its tenure has ended as planned */
bool stopped;              /* has not read the table for the longest extension */
bool counted[G];           /* promises it believes it holds */

/* the successor */
bool heir_members;
bool adopted;

bool acked[G];             /* has acknowledged the successor's epoch */
bool promised[G];          /* its promise to the old owner is open */
byte closed_below[G];

#define COUNTED (counted[0] + counted[1] + counted[2] + counted[3])
#ifdef MUT_GIVE_UP
#define ACTS true
#else
#define ACTS (!gave_up)
#endif
#define MAY_GRANT (ACTS && !knows && (own_lease || (!stopped && COUNTED >= MAJORITY)))
#define ACKED(g) (acked[g] && IN(heir_members, g))
#define ACKS (ACKED(0) + ACKED(1) + ACKED(2) + ACKED(3))

/* This guard has closed the version in force, and has no promise under it open any more. */
#ifdef MUT_NO_WAIT_OUT
#define CLOSED(g) (IN(members, g) && closed_below[g] > version)
#else
#define CLOSED(g) (IN(members, g) && closed_below[g] > version && !promised[g])
#endif
#define ALL_CLOSED (CLOSED(0) + CLOSED(1) + CLOSED(2) + CLOSED(3))

#ifdef MUT_NO_STOP
#define SETTLED true
#else
#define SETTLED (view == version || stopped)
#endif
#ifdef MUT_NO_CLOSE
#define SAFE true
#else
#define SAFE (ALL_CLOSED >= MAJORITY || (closing && SETTLED))
#endif

active proctype old_owner() {
    do
    :: atomic { own_lease -> own_lease = false }
    :: atomic { !gave_up -> gave_up = true }
    :: atomic { lease && !own_lease -> lease = false }
    :: atomic { view != version && !stopped -> stopped = true }
    :: atomic { view != version || knows != taken_over || stopped ->
            stopped = false; knows = taken_over;
            if
            :: view != version ->
                    view = version; view_members = members; view_closing = closing;
#ifndef MUT_MIXED_SETS
                    counted[0] = false; counted[1] = false;
                    counted[2] = false; counted[3] = false
#endif
            :: else -> skip
            fi }
    od
}

active proctype successor() {
    atomic { (!lease || gave_up) && !taken_over -> taken_over = true; heir_members = members };
    do
    :: atomic { !adopted && heir_members != members -> heir_members = members }
    :: atomic { !adopted && ACKS >= MAJORITY -> adopted = true }
    od
}

active proctype changer() {
    do
    :: atomic { version < MAX_VERSION && SAFE ->
            members = 1 - members; closing = false; version++ }
    :: atomic { version < MAX_VERSION && !closing -> closing = true; version++ }
    od
}

proctype guard(byte g) {
    do
    :: atomic { taken_over && !acked[g] && !promised[g] && IN(heir_members, g) ->
            acked[g] = true }
    :: atomic { (!acked[g] && !knows && IN(view_members, g) && !view_closing &&
            view >= closed_below[g] && !counted[g]) ->
            promised[g] = true; counted[g] = true }
    :: atomic { gave_up && promised[g] -> promised[g] = false }
    /* The owner's count of a promise ends before the guard's. */
    :: atomic { counted[g] -> counted[g] = false }
    :: atomic { promised[g] && !counted[g] -> promised[g] = false }
    :: atomic { IN(members, g) && closed_below[g] <= version ->
            closed_below[g] = version + 1 }
#ifdef MUT_SAME_GUARD
    :: atomic { acked[g] = false; promised[g] = false; closed_below[g] = 0 }
#endif
    od
}

active proctype monitor() {
    atomic { adopted && MAY_GRANT -> assert(false) }
}

init {
    atomic { run guard(0); run guard(1); run guard(2); run guard(3) }
}
