/*
 * Ownership of one target with one slot by two gateways: session leases, takeover and handover.
 *
 * Each step is one atomic action of one process. Any process may be delayed for any time, which
 * covers frozen processes. The first step of `controllers` is one tick of the granter's clock.
 * README.md describes the variables and guards.
 */
#ifndef TTL
#define TTL 1 /* length of a session lease, in ticks of the holder's clock */
#endif
#ifndef MAXEPOCH
#define MAXEPOCH 2 /* highest ownership epoch */
#endif
#define DRIFT 1 /* ticks by which a holder's clock may fall behind during one lease */

#ifdef NO_DRIFT_GUARD
#define GRANT TTL
#else
#define GRANT (TTL + DRIFT)
#endif

/* Stages of a Sync call. */
#define IDLE 0
#define SENT 1
#define CONFIRMED 2    /* the call arrived and then the leader confirmed its leadership */
#define CONFIRMED_OLD 3 /* as CONFIRMED, but a new leader has been elected since */
#define RESPONDED 4

/* Replicated state and the leader's timers. */
bit session[2];        /* the session has not expired */
byte count[2];         /* ticks until the granter regards the session as expired */
bit draining[2];
byte owner = 2;        /* 2 is none */
byte epoch;            /* ownership epoch of the target */
bit deposed;           /* a former leader still responds */

/* Gateways. */
bit registered[2];     /* the process has registered a session */
byte rem[2];           /* remaining lease, in ticks of the granter's clock */
byte sync[2];          /* stage of the outstanding Sync call */
byte left[2];          /* ticks to which the response to that call may extend the lease */
byte syncEpoch[2];     /* ownership epoch in the response; 0 is none */
byte own[2];           /* epoch under which the gateway owns the target; 0 is none */
bit opened[2];         /* the target has announced itself to this owner under its epoch */
bit reserved[2];       /* the slot is reserved for a request that this owner dispatched */
bit listed[2];         /* the slot is reserved for work that the target announced */
byte inFlight[2];      /* epoch of a dispatch that passed the lease check but has not arrived; 0 is none */

/* Target. */
byte seen;             /* highest epoch seen */
byte running;          /* epoch of the work in the only slot; 0 is free */
byte annEpoch;         /* announcement in flight: epoch plus 1; 0 is none */
bit annBusy;           /* the announcement lists running work */
byte responseEpoch;    /* epoch in the response to an announcement in flight; 0 is none */

#define VALID(g) (rem[g] > 0 && own[g] != 0)

inline assign() {
  owner = 2;
  if
  :: session[0] && !draining[0] && epoch < MAXEPOCH -> owner = 0; epoch++
  :: session[1] && !draining[1] && epoch < MAXEPOCH -> owner = 1; epoch++
  :: !(session[0] && !draining[0]) && !(session[1] && !draining[1]) -> skip
  :: epoch == MAXEPOCH -> skip
  fi
}

/* A leader that expires a session does not respond to calls of that session that it confirmed earlier. */
inline expire(g) {
  session[g] = 0;
  if :: sync[g] == CONFIRMED -> sync[g] = IDLE; left[g] = 0; syncEpoch[g] = 0 :: else fi;
  if :: owner == g -> assign() :: else fi
}

inline dropOwnership(g) {
  own[g] = 0;
  opened[g] = 0;
  reserved[g] = 0;
  listed[g] = 0
}

inline decrement(x) {
  if
  :: x > 0 -> x--
  :: else
  fi
}

proctype gateway(byte g) {
  byte other = 1 - g;
  do
  :: d_step { !registered[g] && !session[g] && epoch < MAXEPOCH ->
      registered[g] = 1; session[g] = 1; draining[g] = 0; count[g] = GRANT; sync[g] = IDLE }
  :: atomic { session[g] && owner == 2 && !draining[g] && epoch < MAXEPOCH ->
      owner = g; epoch++ }
  :: d_step { registered[g] && sync[g] == IDLE -> sync[g] = SENT; left[g] = TTL }
  :: d_step { registered[g] && sync[g] == IDLE -> sync[g] = SENT; left[g] = TTL + DRIFT }
  /* the call is lost, or the gateway abandons it */
  :: d_step { sync[g] != IDLE -> sync[g] = IDLE; left[g] = 0; syncEpoch[g] = 0 }
  :: d_step { sync[g] == SENT && session[g] ->
      sync[g] = CONFIRMED;
      if
      :: owner == g -> syncEpoch[g] = epoch
      :: else -> syncEpoch[g] = 0
      fi }
  :: d_step { sync[g] == CONFIRMED && session[g] -> sync[g] = RESPONDED; count[g] = GRANT }
  :: d_step { sync[g] == CONFIRMED_OLD -> sync[g] = RESPONDED }
#ifdef NO_READ_INDEX_GUARD
  /* a deposed leader responds without confirming its leadership */
  :: d_step { sync[g] == SENT && deposed -> sync[g] = RESPONDED; syncEpoch[g] = own[g] }
#endif
  :: d_step { sync[g] == RESPONDED && registered[g] ->
#ifdef NO_SEND_TIME_GUARD
      rem[g] = TTL;
#else
      if
      :: left[g] > rem[g] -> rem[g] = left[g]
      :: else
      fi;
#endif
      if
      :: syncEpoch[g] > own[g] && !draining[g] -> dropOwnership(g); own[g] = syncEpoch[g]
      :: else
      fi;
      sync[g] = IDLE; left[g] = 0; syncEpoch[g] = 0 }
  /* the gateway detects that its lease has expired; it registers again later */
  :: d_step { registered[g] && rem[g] == 0 && !session[g] ->
      registered[g] = 0; sync[g] = IDLE; left[g] = 0; syncEpoch[g] = 0; dropOwnership(g) }

  /* graceful handover: stop dispatching, then propose DrainGateway */
#ifdef NO_DRAIN_ORDER_GUARD
  :: atomic { registered[g] && session[g] && !draining[g] && owner == g && own[g] == epoch && session[other] ->
      draining[g] = 1; assign() }
#else
  :: atomic { registered[g] && session[g] && !draining[g] && owner == g && own[g] == epoch && session[other] && inFlight[g] == 0 ->
      dropOwnership(g); draining[g] = 1; assign() }
#endif

  /* dispatch: lease check first, arrival at the target later */
  :: d_step { VALID(g) && opened[g] && !reserved[g] && !listed[g] && inFlight[g] == 0 ->
      assert(!VALID(other) && owner == g); /* ONE_GRANT: one gateway dispatches under a valid grant */
      reserved[g] = 1;
      inFlight[g] = own[g] }
  :: d_step { inFlight[g] != 0 ->
      if
#ifndef NO_EPOCH_GUARD
      :: inFlight[g] < seen -> /* rejected by the target */
         if
         :: own[g] == inFlight[g] -> reserved[g] = 0
         :: else
         fi
#endif
      :: else ->
         assert(running == 0);                          /* CAPACITY: the only slot is free */
         assert(!opened[other] || own[other] < inFlight[g]); /* NO_LATE_WORK: no work starts under an old epoch after a takeover */
         running = inFlight[g];
         if
         :: inFlight[g] > seen -> seen = inFlight[g]
         :: else
         fi
      fi;
      inFlight[g] = 0 }

  /* announcements */
#ifdef NO_REPORT_GUARD
  :: d_step { VALID(g) && !opened[g] -> opened[g] = 1; listed[g] = 0 }
#endif
  :: d_step { VALID(g) && annEpoch != 0 ->
      if
      :: annEpoch - 1 == own[g] ->
         if
         :: !opened[g] -> opened[g] = 1; listed[g] = annBusy
         :: opened[g] && !annBusy -> listed[g] = 0
         :: else
         fi
      :: else
      fi;
      responseEpoch = own[g];
      annEpoch = 0; annBusy = 0 }
  od
}

proctype target() {
  do
  :: d_step { annEpoch == 0 -> annEpoch = seen + 1; annBusy = (running != 0) }
  :: d_step { annEpoch != 0 -> annEpoch = 0; annBusy = 0 }
  :: d_step { responseEpoch != 0 ->
      if
      :: responseEpoch > seen -> seen = responseEpoch
      :: else
      fi;
      responseEpoch = 0 }
  :: d_step { running != 0 -> /* the work ends and its response reaches the owner */
      if
      :: own[0] == running -> reserved[0] = 0
      :: own[1] == running -> reserved[1] = 0
      :: else
      fi;
      running = 0 }
  od
}

proctype controllers() {
  do
  :: d_step { rem[0] + rem[1] + left[0] + left[1] + count[0] + count[1] > 0 ->
      decrement(rem[0]); decrement(rem[1]); decrement(left[0]); decrement(left[1]); decrement(count[0]); decrement(count[1]) }
  :: atomic { session[0] && count[0] == 0 -> expire(0) }
  :: atomic { session[1] && count[1] == 0 -> expire(1) }
  :: d_step { true -> /* a new leader is elected */
#ifdef NO_READ_INDEX_GUARD
      deposed = 1;
#endif
      if :: sync[0] == CONFIRMED -> sync[0] = CONFIRMED_OLD :: else fi;
      if :: sync[1] == CONFIRMED -> sync[1] = CONFIRMED_OLD :: else fi;
#ifdef NO_ELECTION_GUARD
      count[0] = 0;
      count[1] = 0
#else
      if :: session[0] -> count[0] = GRANT :: else fi;
      if :: session[1] -> count[1] = GRANT :: else fi
#endif
      }
  od
}

init {
  atomic { run gateway(0); run gateway(1); run target(); run controllers() }
}
