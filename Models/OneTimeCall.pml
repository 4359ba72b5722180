/* Claim and run of a one-time call (design, section 9).
 *
 * Three requests with the same idempotency key reach different gateways. A frozen gateway is a process that takes no step for as long as it likes, so that
 * every interleaving includes freezes. The table service applies each write when it likes; the answer to a write may be lost before or after that. The
 * target may be out of reach, run the call late, or lose the call or its answer after bytes were written.
 *
 * Properties: the call runs at most once; a request that was refused as "not run" was not run and never runs later.
 * Each of these macros removes one guard: COMPARE_NO_NONCE, TAKE_OVER_OPEN_CLAIM, BLIND_RECLAIM, NOT_RUN_AFTER_BYTES, SEND_BEFORE_CLAIM.
 */

#define REQUESTS 3
#define NOBODY 255

mtype = { Absent, Open, NotRun, Done };
mtype = { Pending, SaysNotRun, SaysDone, SaysUnknown };

/* The row of the key in the table service. */
mtype row = Absent;
byte owner = NOBODY;
byte revision = 0;

/* A write that was sent and not yet applied: at most one for each request. */
bool inFlight[REQUESTS];
mtype writeState[REQUESTS];
byte writeRevision[REQUESTS];

/* A call whose bytes are under way to the target. */
bool atTarget[REQUESTS];

byte runs = 0;
bool ranFor[REQUESTS];
mtype answer[REQUESTS] = Pending;

#ifdef BLIND_RECLAIM
#define allowed(i) (writeRevision[i] == revision || (writeState[i] == Open && writeRevision[i] > 0))
#else
#define allowed(i) (writeRevision[i] == revision)
#endif

/* Step T1: the table service applies a write if its condition holds. */
inline applyWrite(i) {
    inFlight[i] = false;
    if
    :: allowed(i) ->
        row = writeState[i];
        owner = i;
        revision++
    :: else
    fi
}

/* Delivers writes whose sender no longer waits for them. */
active proctype Table() {
end:
    do
    :: atomic { inFlight[0] -> applyWrite(0) }
    :: atomic { inFlight[1] -> applyWrite(1) }
    :: atomic { inFlight[2] -> applyWrite(2) }
    od
}

/* Step D1: the target runs a call that reached it, or loses it. */
inline deliverCall(i) {
    atTarget[i] = false;
    if
    :: runs++;
        ranFor[i] = true;
        assert(runs <= 1);
        assert(answer[i] != SaysNotRun)
    :: skip
    fi
}

active proctype Target() {
end:
    do
    :: atomic { atTarget[0] -> deliverCall(0) }
    :: atomic { atTarget[1] -> deliverCall(1) }
    :: atomic { atTarget[2] -> deliverCall(2) }
    od
}

inline finish(what) {
    atomic {
        assert(what != SaysNotRun || !ranFor[me]);
        answer[me] = what
    }
}

/* Step R1: sends a conditional write. succeeded is 1 or 0, or 2 if the answer was lost. */
inline conditionalWrite(state, at) {
    atomic {
        writeState[me] = state;
        writeRevision[me] = at;
        inFlight[me] = true
    };
    if
    :: atomic { inFlight[me] ->
        succeeded = allowed(me);
        applyWrite(me) }
    :: succeeded = 2
    fi
}

proctype Request(byte me) {
    byte succeeded = 0;
    byte seenRevision = 0;
    mtype seen = Absent;

#ifdef SEND_BEFORE_CLAIM
    atTarget[me] = true;
#endif
    /* Step R2: reads the row. If the table service is down, the request is refused as not run, since nothing was sent. */
    if
    :: atomic { seen = row; seenRevision = revision }
    :: finish(SaysNotRun); goto finished
    fi;
    if
    :: seen == Done -> finish(SaysDone); goto finished
    :: seen == Open ->
#ifdef TAKE_OVER_OPEN_CLAIM
        skip
#else
        /* Step R3: an open claim is waited for until the claim deadline and never run. */
        if
        :: row == Done -> finish(SaysDone)
        :: finish(SaysUnknown)
        fi;
        goto finished
#endif
    :: else
    fi;

    /* Step R4: claims: creates the row, or changes one that says "not run". */
    conditionalWrite(Open, seenRevision);
    if
    :: succeeded == 0 -> finish(SaysUnknown); goto finished
    :: succeeded == 1
    :: succeeded == 2 ->
        /* Step R5: the answer was lost: reads the row back and compares the nonce. If that fails too, nothing was sent. */
        if
#ifdef COMPARE_NO_NONCE
        :: row == Open -> skip
        :: row != Open -> finish(SaysNotRun); goto finished
#else
        :: atomic { row == Open && owner == me -> skip }
        :: atomic { row == Open && owner != me -> skip }; finish(SaysUnknown); goto finished
        :: atomic { row == Done -> skip }; finish(SaysDone); goto finished
        :: atomic { (row == Absent || row == NotRun) -> skip }; finish(SaysNotRun); goto finished
#endif
        :: finish(SaysNotRun); goto finished
        fi
    fi;
    seenRevision = revision;

    /* Step R6: past its own claim deadline, the holder does not send. */
    if
    :: goto recordNotRun
    :: skip
    fi;

    /* Step R7: sends once, on a fresh connection; or no connection was made. */
    if
    :: goto recordNotRun
    :: atTarget[me] = true
    fi;
    if
    :: atomic { ranFor[me] -> skip }
    :: goto unknown
    fi;
    /* Step R8: records the outcome. The caller gets its answer even if that fails. */
    conditionalWrite(Done, seenRevision);
    finish(SaysDone);
    goto finished;

unknown:
#ifdef NOT_RUN_AFTER_BYTES
    finish(SaysNotRun);
#else
    finish(SaysUnknown);
#endif
    goto finished;

recordNotRun:
    /* Step R9: the record that lets another request claim again. */
    conditionalWrite(NotRun, seenRevision);
    finish(SaysNotRun);
finished:
    skip
}

init {
    atomic {
        run Request(0);
        run Request(1);
        run Request(2)
    }
}
