/* Acceptance of environment documents (design, section 10).
 *
 * Two operators edit and apply; the answer to a write may be lost. Three nodes read the head when the platform is up, get the bytes from the object store
 * or from a peer, and hear offers of their peers, which may be old and whose bytes may be damaged. A node may restart at any time, also while the platform
 * is down; it then has no document until it reads one or hears an offer.
 *
 * Properties: the head never goes back and a version has one digest; an operator is told the truth; the document in force on a node never goes back while
 * the node runs, and has the digest that was accepted for its version.
 * Each of these macros removes one guard: BLIND_APPLY, ASSUME_REFUSED, ACCEPT_ANY_VERSION, ACCEPT_ANY_BYTES.
 * ACROSS_RESTART checks a property that the design does not promise: that a node which restarts during an outage never has an older document than before.
 */

#define NODES 3
#define VERSIONS 5
#define FIRST 1
#define DAMAGED 9

mtype = { Unasked, Accepted, Conflict, Unknown };

byte headVersion = FIRST;
byte headDigest = FIRST;
/* The digest that was accepted for each version. */
byte digestOf[VERSIONS];

byte inForce[NODES] = FIRST;
#ifdef ACROSS_RESTART
byte hadBefore[NODES] = FIRST;
#endif

/* Versions under way to each node: from the table service's head or offered by a peer. Either may be under way for long. */
chan offers[NODES] = [1] of { byte };

/* Step O1 to O3: edits version read, applies read + 1 on the condition that the head is still at read, and reads back if the answer was lost. */
proctype Operator(byte digest) {
    byte read;
    mtype told = Unasked;

    read = headVersion;
    if
    :: atomic {
        if
#ifdef BLIND_APPLY
        :: true ->
#else
        :: headVersion == read ->
#endif
            assert(read + 1 > headVersion);
            assert(digestOf[read + 1] == 0);
            headVersion = read + 1;
            headDigest = digest;
            digestOf[headVersion] = digest;
            if
            :: told = Accepted
            :: told = Unknown /* the answer was lost */
            fi
#ifndef BLIND_APPLY
        :: else -> told = Conflict
#endif
        fi }
    :: told = Unknown /* the write did not arrive */
    fi;
#ifdef ASSUME_REFUSED
    if
    :: told == Unknown -> told = Conflict
    :: else
    fi;
#else
    if
    :: atomic { told == Unknown ->
        if
        :: headVersion == read + 1 && headDigest == digest -> told = Accepted
        :: headVersion == read + 1 && headDigest != digest -> told = Conflict
        /* A later head does not say whose version was in between, and an earlier one does not say that the write will not arrive. */
        :: else
        fi }
    :: skip
    fi;
#endif
    atomic {
        assert(told != Accepted || digestOf[read + 1] == digest);
        assert(told != Conflict || digestOf[read + 1] != digest)
    }
}

/* Step N3: the acceptance rule. Only a higher version whose bytes match the digest replaces the document in force. */
inline accept(version, bytes) {
    if
#if defined(ACCEPT_ANY_VERSION)
    :: bytes == digestOf[version] && version != inForce[me] ->
#elif defined(ACCEPT_ANY_BYTES)
    :: version > inForce[me] ->
#else
    :: version > inForce[me] && bytes == digestOf[version] ->
#endif
        assert(version > inForce[me]);
        assert(bytes == digestOf[version]);
        inForce[me] = version;
#ifdef ACROSS_RESTART
        assert(version >= hadBefore[me]);
        hadBefore[me] = version
#endif
    :: else
    fi
}

/* An outage of the platform is that step N1 is not taken for as long as it likes. */
proctype Node(byte me) {
    byte version = 0;
    byte bytes = 0;
    byte peer = 0;
    bool restarted = false;
end:
    do
    /* Step N1: reads the head. */
    :: atomic { headVersion > inForce[me] && nfull(offers[me]) -> offers[me]!headVersion }
    /* Step N2: gets the bytes of a version from the object store or a peer; they may be damaged. */
    :: atomic { offers[me]?version ->
        if
        :: bytes = digestOf[version]
        :: bytes = DAMAGED
        fi;
        accept(version, bytes);
        version = 0;
        bytes = 0 }
    /* Step N4: offers the document in force to a peer. */
    :: atomic { inForce[me] > 0 ->
        if
        :: peer = (me + 1) % NODES
        :: peer = (me + 2) % NODES
        fi;
        if
        :: nfull(offers[peer]) -> offers[peer]!inForce[me]
        :: full(offers[peer])
        fi;
        peer = 0 }
    /* Step N5: restarts and has no document. */
    :: atomic { !restarted -> restarted = true; inForce[me] = 0 }
    od
}

init {
    atomic {
        digestOf[FIRST] = FIRST;
        run Operator(2);
        run Operator(3);
        run Node(0);
        run Node(1);
        run Node(2)
    }
}
