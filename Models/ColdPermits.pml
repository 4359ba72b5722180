/* Permits of a cold target (design, section 11).
 *
 * The permits are the slots of one row in the table service. Two controllers may act at the same time, because one may be frozen and wake after it lost its
 * lease. Holders may be frozen, which is to take no step, or die while their streams run on at the target. The answer to a write may be lost.
 *
 * Assumption A1: the VM list drops a dead holder only when nothing that the holder sent is still on its way to the target.
 *
 * Property: the target never runs more streams than its limit.
 * Each of these macros removes one guard: EXPIRE_BY_TIME, IGNORE_REPORT, OLD_REPORT, BLIND_GRANT, RETURN_ON_SILENCE, RETURN_BY_INDEX.
 * LIST_AHEAD_OF_NETWORK removes assumption A1.
 */

#define LIMIT 2
#define HOLDERS 3
#define CONTROLLER_ROUNDS 2
#define FREE 255
/* The slot of a holder that is gone and whose stream may still run. */
#define ORPHAN 254

byte slot[LIMIT] = FREE;
byte revision = 0;

bool dead[HOLDERS];
bool listed[HOLDERS] = true;
bool wants[HOLDERS];

/* A start of a stream under way to the target, and the streams that run there. */
bool starting[HOLDERS];
bool runs[HOLDERS];
byte running = 0;

#define holds(h) (slot[0] == h || slot[1] == h)
#define slotOf(h) (slot[0] == h -> 0 : 1)

/* Steps P1 and P2: the target starts what reaches it and ends streams when they are complete. */
active proctype Target() {
end:
    do
    :: atomic { starting[0] -> starting[0] = false; runs[0] = true; running++; assert(running <= LIMIT) }
    :: atomic { starting[1] -> starting[1] = false; runs[1] = true; running++; assert(running <= LIMIT) }
    :: atomic { starting[2] -> starting[2] = false; runs[2] = true; running++; assert(running <= LIMIT) }
    :: atomic { runs[0] -> runs[0] = false; running-- }
    :: atomic { runs[1] -> runs[1] = false; running-- }
    :: atomic { runs[2] -> runs[2] = false; running-- }
    od
}

#ifdef LIST_AHEAD_OF_NETWORK
#define delivered(h) true
#else
#define delivered(h) (!starting[h])
#endif

/* Step V1: the VM list drops a dead holder some time later. */
active proctype VmList() {
end:
    do
    :: atomic { listed[0] && dead[0] && delivered(0) -> listed[0] = false }
    :: atomic { listed[1] && dead[1] && delivered(1) -> listed[1] = false }
    :: atomic { listed[2] && dead[2] && delivered(2) -> listed[2] = false }
    od
}

proctype Holder(byte me) {
    byte mine = 0;
    byte rounds = 0;
    do
    :: atomic { rounds < (me == 0 -> 2 : 1) ->
        rounds++;
        wants[me] = true };
        /* Step H1: finds its slot in the row. It reads the row, so that a lost answer to the grant does no harm. */
        if
        :: atomic { holds(me) -> mine = slotOf(me); wants[me] = false }
        :: atomic { dead[me] = true; wants[me] = false; goto finished }
        fi;
        /* Step H2: starts one stream, or dies before. It may be frozen between the two steps for as long as it likes. */
        if
        :: starting[me] = true
        :: dead[me] = true; goto finished
        fi;
        /* Step H3: waits until the target says that the stream has ended; or dies and leaves the stream running. */
        if
#ifdef RETURN_ON_SILENCE
        :: skip
#else
        :: atomic { !starting[me] && !runs[me] -> skip }
#endif
        :: dead[me] = true; goto finished
        fi;
        /* Step H4: returns its slot. If the answer is lost, it looks again and returns the slot only if it still holds it. */
        atomic {
            if
            :: slot[mine] == me -> slot[mine] = FREE; revision++
            :: else
            fi
        };
        if
        :: mine = 0
        :: atomic { /* the answer was lost */
            if
#ifdef RETURN_BY_INDEX
            :: true -> slot[mine] = FREE; revision++
#else
            :: slot[mine] == me -> slot[mine] = FREE; revision++
            :: else
#endif
            fi;
            mine = 0 }
        fi
    :: else -> break
    od;
finished:
    skip
}

#ifdef EXPIRE_BY_TIME
#define isGone(h) (h < HOLDERS)
#else
#define isGone(h) (h < HOLDERS && !listed[h])
#endif

proctype Controller() {
    byte seen[LIMIT];
    byte seenRevision = 0;
    byte report = 0;
    byte orphans = 0;
    byte requester = 0;
    byte i = 0;
    byte rounds = 0;
    do
    :: rounds < CONTROLLER_ROUNDS ->
#ifdef OLD_REPORT
        report = running;
#endif
        /* Step C1: reads the row and the VM list, and marks the slots of holders that are gone. */
        atomic {
            rounds++;
            seen[0] = slot[0];
            seen[1] = slot[1];
            seenRevision = revision;
            orphans = 0;
            i = 0;
            do
            :: i < LIMIT ->
                if
                :: isGone(seen[i]) -> seen[i] = ORPHAN
                :: else
                fi;
                if
                :: seen[i] == ORPHAN -> orphans++
                :: else
                fi;
                i++
            :: else -> break
            od;
            i = 0
        };
        /* Step C2: reads the target's load report after that. No more orphans run than the target reports as running, so that the slots of the others are
         * free. One free slot is granted. */
        atomic {
#if defined(IGNORE_REPORT)
            report = 0;
#elif !defined(OLD_REPORT)
            report = running;
#endif
            do
            :: i < LIMIT && orphans > report ->
                if
                :: seen[i] == ORPHAN -> seen[i] = FREE; orphans--
                :: else
                fi;
                i++
            :: else -> break
            od;
            i = 0;
            requester = 0;
            do
            :: requester < HOLDERS && !(wants[requester] && seen[0] != requester && seen[1] != requester) -> requester++
            :: else -> break
            od;
            if
            :: requester < HOLDERS && seen[0] == FREE -> seen[0] = requester
            :: requester < HOLDERS && seen[0] != FREE && seen[1] == FREE -> seen[1] = requester
            :: else
            fi;
            requester = 0;
            report = 0;
            orphans = 0
        };
        /* Step C3: writes the row on the condition that it is as it was read. */
        atomic {
            if
#ifdef BLIND_GRANT
            :: true ->
#else
            :: revision == seenRevision ->
#endif
                slot[0] = seen[0];
                slot[1] = seen[1];
                revision++
#ifndef BLIND_GRANT
            :: else
#endif
            fi;
            seen[0] = 0; seen[1] = 0; seenRevision = 0
        }
    :: else -> break
    od
}

init {
    atomic {
        run Holder(0);
        run Holder(1);
        run Holder(2);
        run Controller();
        run Controller()
    }
}
