/*
 * One idempotency key, one ledger object, two side processes that both believe to be preferred.
 * A write can be refused, applied with its answer lost, or applied late. Reads can be stale.
 * Property: the call runs at most once, and an abandoned attempt (caller told "not run") never runs.
 * With BROKEN the object is written without a condition on its version.
 */
#define PROCESSES 2
#define TRIES 3

byte version = 0;
byte owner = 0;          /* Attempt whose intent the object holds; 0: none. */
byte previous_version = 0;
byte previous_owner = 0;
byte runs = 0;

/* At most one late write per process: the version it expects and its attempt. */
bool late[PROCESSES];
byte late_version[PROCESSES];

bool abandoned[PROCESSES];

inline apply(expected, attempt, accepted)
{
    if
#ifndef BROKEN
    :: version != expected -> accepted = false
#endif
    :: else ->
        previous_version = version;
        previous_owner = owner;
        version++;
        owner = attempt;
        accepted = true
    fi
}

proctype late_writes()
{
    bool accepted;
end:
    do
    :: atomic { late[0] -> late[0] = false; apply(late_version[0], 1, accepted) }
    :: atomic { late[1] -> late[1] = false; apply(late_version[1], 2, accepted) }
    od
}

proctype side(byte id)
{
    byte attempt = id + 1;
    byte seen_version;
    byte seen_owner;
    byte tries = 0;
    bool accepted;

read:
    if
    :: atomic { seen_version = version; seen_owner = owner }
    :: atomic { seen_version = previous_version; seen_owner = previous_owner }
    fi;
    if
    :: seen_owner == attempt -> goto execute
    :: seen_owner != 0 && seen_owner != attempt -> goto done
    :: else
    fi;
    if
    :: tries == TRIES -> abandoned[id] = true; goto done
    :: tries < TRIES -> tries++
    fi;
    if
    :: atomic { apply(seen_version, attempt, accepted) };
        if
        :: accepted -> goto execute       /* The answer arrived. */
        :: accepted -> goto read      /* The answer was lost. */
        :: !accepted -> goto read     /* Conflict. */
        fi
    :: goto read                      /* Refused. */
    :: atomic { !late[id] -> late[id] = true; late_version[id] = seen_version };
        goto read                     /* Timed out; it is applied later, if its condition holds. */
    :: abandoned[id] = true; goto done
    fi;

execute:
    atomic {
        assert(!abandoned[id]);
        runs++;
        assert(runs <= 1)
    };
done:
    skip
}

init
{
    atomic {
        run late_writes();
        run side(0);
        run side(1)
    }
}
