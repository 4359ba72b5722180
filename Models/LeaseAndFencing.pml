/* Lease, fencing numbers and engine orders (design, section 11).
 *
 * Controllers take the lease in the table service by a conditional write that raises the fencing number. How long a lease lasts is left open: a controller
 * may take it at any time and an old holder may go on sending at any time, which includes every freeze and every expiry. Orders reach the engine late and
 * in any order. The answer to a write may be lost after it took effect.
 *
 * Properties: a fencing number has one holder; an engine that honours numbers never executes an older order after a newer one; an engine that ignores
 * numbers ends in the state that the last holder desires, because that holder repeats it until the engine reports it and keeps comparing.
 * Each of these macros removes one guard: ENGINE_CHECKS_NOTHING, BLIND_LEASE, ASSUME_LEASE, SEND_ONCE. IGNORING_ENGINE selects the second kind of engine.
 */

#define CONTROLLERS 2
#define ACQUISITIONS 2
#define ORDERS 2
#define NOBODY 255
#define NUMBERS 6

/* The lease row; the number is the row's revision. */
byte number = 0;
byte holder = NOBODY;

/* Orders under way: how many of each number. */
byte underWay[NUMBERS];
byte senderOf[NUMBERS] = NOBODY;

/* What the engine executed last, and the highest number that it saw. */
byte executed = 0;
byte highest = 0;

/* Controllers that acquire no more, and the number under which each of them holds the lease by its own knowledge. */
byte finishedCount = 0;
byte heldBy[CONTROLLERS];

inline sendOrder(n) {
    atomic {
        assert(senderOf[n] == NOBODY || senderOf[n] == me);
        senderOf[n] = me;
        underWay[n]++
    }
}

/* Step L1: takes the lease if the row is still at the number that was read. mine is 0 if that failed. */
inline acquire() {
    read = number;
    if
    :: atomic {
#ifndef BLIND_LEASE
        number == read ->
#endif
        number = read + 1;
        holder = me };
        if
        :: mine = read + 1
        :: goto readBack
        fi
    :: goto readBack /* the write did not take effect, and its answer was lost */
    :: mine = 0 /* the condition failed, or the table service is down */
    fi;
    goto acquired;
readBack:
    /* Step L2: the answer was lost: reads the row back. */
#ifdef ASSUME_LEASE
    mine = read + 1;
#else
    if
    :: atomic { holder == me && number == read + 1 -> mine = number }
    :: atomic { !(holder == me && number == read + 1) -> mine = 0 }
    :: mine = 0
    fi;
#endif
acquired:
    skip
}

proctype Controller(byte me) {
    byte read = 0;
    byte mine = 0;
    byte acquisitions = 0;
    byte orders = 0;
    do
    :: acquisitions < ACQUISITIONS ->
        acquisitions++;
        acquire();
        orders = 0;
        do
        /* Step L3: sends orders under its number, also long after another took the lease. */
        :: mine > 0 && orders < ORDERS -> orders++; sendOrder(mine)
        :: break
        od
    :: break
    od;
    /* Step L4: the present holder compares what the engine reports with what it desires, and sends again. */
    atomic { heldBy[me] = mine; finishedCount++ };
#ifndef SEND_ONCE
    do
    :: atomic { finishedCount == CONTROLLERS && mine == number && mine > 0 && executed != mine && underWay[mine] == 0 -> underWay[mine] = 1; senderOf[mine] = me }
    :: timeout -> break
    od
#endif
}

/* Step E1: the engine executes an order, unless it honours numbers and has seen a higher one. */
inline deliver(n) {
    underWay[n]--;
#if defined(IGNORING_ENGINE)
    executed = n
#elif defined(ENGINE_CHECKS_NOTHING)
    assert(n >= executed);
    executed = n
#else
    if
    :: n >= highest ->
        highest = n;
        assert(n >= executed);
        executed = n
    :: else
    fi
#endif
}

active proctype Engine() {
end:
    do
    :: atomic { underWay[1] > 0 -> deliver(1) }
    :: atomic { underWay[2] > 0 -> deliver(2) }
    :: atomic { underWay[3] > 0 -> deliver(3) }
    :: atomic { underWay[4] > 0 -> deliver(4) }
    od
}

/* When nothing moves any more, the engine is in the state that the present holder desires, if there is one that knows that it holds the lease. */
active proctype Observer() {
    timeout;
#ifdef IGNORING_ENGINE
    assert(number == 0 || (heldBy[0] != number && heldBy[1] != number) || executed == number)
#endif
}

init {
    atomic {
        run Controller(0);
        run Controller(1)
    }
}
