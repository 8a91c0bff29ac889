/* Orders to one engine that ignores fencing numbers, through a gate that reads the lease object.
   Two holders acquire the lease in turn; either may be paused at any point, also past its lease,
   and resumes believing that it still holds it. The platform may be down for any read, and the
   gate may be restarted without memory. An order reaches the gate any time after it was issued.
   Property: the engine never runs an order of a lower epoch after one of a higher epoch.
   With -DBROKEN the gate compares with its own memory only and does not read the lease. */

#define takeovers 3
#define orders 2 /* per holder and epoch */

byte lease_epoch = 0; /* in the platform's object */
byte engine_highest = 0;
bool platform_up = true;
chan to_gate = [0] of { byte };

proctype holder()
{
    byte mine, sent;
    do
    :: lease_epoch < takeovers ->
        /* Conditional update with epoch + 1; it succeeds whether or not the old holder is paused. */
        atomic { lease_epoch < takeovers -> lease_epoch++; mine = lease_epoch };
        sent = 0;
        do
        :: sent < orders -> to_gate!mine; sent++ /* A pause is a delay before any of these. */
        :: break
        od
    :: break
    od
}

proctype gate()
{
    byte epoch;
    byte highest = 0;
    byte confirmed = 0; /* Epoch relied on while the platform is down; 0: none. */
    bool accepted;
end:
    do
    :: to_gate?epoch ->
        accepted = false;
#ifdef BROKEN
        accepted = (epoch >= highest);
        if
        :: accepted -> highest = epoch
        :: else
        fi;
#else
        if
        :: epoch < highest -> skip /* The claim of a higher epoch ends reliance on this one. */
        :: else ->
            atomic {
                if
                :: platform_up ->
                    accepted = (epoch == lease_epoch);
                    highest = lease_epoch;
                    if
                    :: accepted -> confirmed = epoch
                    :: else
                    fi
                :: !platform_up ->
                    accepted = (confirmed != 0 && epoch == confirmed);
                    highest = epoch
                fi
            }
        fi;
#endif
        if
        :: accepted ->
            /* The engine executes whatever it is sent. */
            assert(epoch >= engine_highest);
            engine_highest = epoch
        :: else
        fi
    :: confirmed = 0 /* The lease duration less the margin has passed. */
    :: atomic { highest = 0; confirmed = 0 } /* Restart. */
    od
}

proctype platform()
{
end:
    do
    :: platform_up -> platform_up = false
    :: !platform_up -> platform_up = true
    od
}

init { atomic { run holder(); run holder(); run gate(); run platform() } }
