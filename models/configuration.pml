/* Applies of two operators of different tenants to one record of the platform, and processes that
 * take the configuration from the platform or from a peer.
 *
 * Checked: an accepted apply is not lost and takes effect once, an operator is told the truth, and
 * no process goes back to a lower generation. Reads may be stale, an update may be delayed beyond
 * the operator's deadline, and its answer may be lost. An operator that gives up may ask again with
 * the same apply id. With -DBROKEN updates are unconditional and processes take what they read.
 */

#define OPERATORS 2
#define PROCESSES 2
#define MAX_TRIES 2
#define NO_UPDATE 255

/* The record: its version is its generation. file[t] is 1 once the apply of operator t, and thus of
 * tenant t, is in force; in this model that is also what the history of apply ids shows. */
byte version = 0;
bool file[OPERATORS];

/* The record before the last update, which a stale read shows. */
byte old_version = 0;
bool old_file[OPERATORS];

/* Updates accepted for each operator, and what it was told. */
byte accepted[OPERATORS];
bool told_accepted[OPERATORS];
bool told_not_run[OPERATORS];

/* One update on its way for each operator: the version it names and the content it writes. */
byte pending_version[OPERATORS];
bool pending_file[OPERATORS * OPERATORS];

byte in_force[PROCESSES];

inline run_update(o)
{
    if
#ifdef BROKEN
    :: true ->
#else
    :: pending_version[o] == version ->
#endif
        old_version = version;
        old_file[0] = file[0];
        old_file[1] = file[1];
        version = version + 1;
        file[0] = pending_file[o * OPERATORS];
        file[1] = pending_file[o * OPERATORS + 1];
        accepted[o] = accepted[o] + 1;
        took_effect = true
#ifndef BROKEN
    :: else -> took_effect = false
#endif
    fi
}

proctype apply_operator(byte o)
{
    byte tries = 0;
    byte read_version;
    bool read_own;
    bool read_other;
    bool took_effect;
    bool unanswered = false;
    byte unanswered_version = 0;

    do
    :: tries < MAX_TRIES ->
        tries++;
        /* Read the record, possibly a stale one; an older one than before is not used. */
        atomic
        {
            if
            :: read_version = version; read_own = file[o]; read_other = file[1 - o]
            :: read_version = old_version; read_own = old_file[o]; read_other = old_file[1 - o]
            fi
        }
        if
        :: unanswered && read_version < unanswered_version -> goto next
        :: else -> skip
        fi;
        if
        :: read_own -> told_accepted[o] = true; goto done
        :: else -> skip
        fi;
        if
        :: unanswered && read_version > unanswered_version -> unanswered = false
        :: else -> skip
        fi;
        /* One update is on its way at a time in this model: the earlier one with the same version
         * is the same update. */
        atomic
        {
            pending_file[o * OPERATORS + o] = true;
            pending_file[o * OPERATORS + 1 - o] = read_other;
            pending_version[o] = read_version;
        if
        :: skip; run_update(o); pending_version[o] = NO_UPDATE;
            if
            :: took_effect -> told_accepted[o] = true; goto done
            :: else -> skip
            fi
        :: skip; run_update(o); pending_version[o] = NO_UPDATE; /* the answer is lost */
            unanswered = true; unanswered_version = read_version
        :: unanswered = true; unanswered_version = read_version /* delayed: run by `network` */
        :: pending_version[o] = NO_UPDATE; /* the request is lost */
            unanswered = true; unanswered_version = read_version
        fi
        };
next:   skip
    :: tries == MAX_TRIES ->
        if
        :: !unanswered -> told_not_run[o] = true
        :: else -> skip
        fi;
        break
    od;
done: skip
}

/* Runs delayed updates at any time, also after the operator has given up. */
proctype network()
{
    bool took_effect;
end:
    do
    :: atomic { pending_version[0] != NO_UPDATE -> run_update(0); pending_version[0] = NO_UPDATE }
    :: atomic { pending_version[1] != NO_UPDATE -> run_update(1); pending_version[1] = NO_UPDATE }
    od
}

inline take(p, generation)
{
    if
#ifdef BROKEN
    :: true -> assert(generation >= in_force[p]); in_force[p] = generation
#else
    :: generation > in_force[p] -> in_force[p] = generation
    :: else -> skip
#endif
    fi
}

proctype process(byte p)
{
    byte seen;
    byte highest = 0;
end:
    do
    :: atomic { seen = version; take(p, seen); assert(in_force[p] >= highest); highest = in_force[p] }
    :: atomic { seen = old_version; take(p, seen); assert(in_force[p] >= highest); highest = in_force[p] }
    :: atomic { seen = in_force[1 - p]; take(p, seen); assert(in_force[p] >= highest); highest = in_force[p] }
    od
}

/* At any time: what was accepted is in the record, once; what was told is true. */
proctype observer()
{
end:
    do
    :: atomic { (accepted[0] > 0 && !file[0]) || (accepted[1] > 0 && !file[1]) -> assert(false) }
    :: atomic { accepted[0] > 1 || accepted[1] > 1 -> assert(false) }
    :: atomic {
        (told_accepted[0] && !file[0]) || (told_accepted[1] && !file[1]) -> assert(false) }
    :: atomic {
        (told_not_run[0] && file[0]) || (told_not_run[1] && file[1]) -> assert(false) }
    :: atomic { in_force[0] > version || in_force[1] > version -> assert(false) }
    od
}

init
{
    atomic
    {
        pending_version[0] = NO_UPDATE;
        pending_version[1] = NO_UPDATE;
        run apply_operator(0);
        run apply_operator(1);
        run network();
        run process(0);
        run process(1);
        run observer()
    }
}
