/*
 * Ownership of one target with one slot by two gateways: session leases, takeover and handover.
 *
 * One step is one atomic action of one part; each part may be delayed for any time, which covers a
 * frozen process. `tick` advances the granter's clock. README.md describes variables and guards.
 */
#ifndef TTL
#define TTL 1 /* ticks of a session lease on the holder's clock */
#endif
#ifndef MAXEPOCH
#define MAXEPOCH 2 /* ownership epochs that are explored */
#endif
#define DRIFT 1 /* ticks that a holder's clock may lose during one lease */

#ifdef NO_DRIFT_GUARD
#define GRANT TTL
#else
#define GRANT (TTL + DRIFT)
#endif

/* Stages of one Sync call. */
#define IDLE 0
#define SENT 1
#define CONFIRMED 2    /* the leader has confirmed its leadership since the call arrived */
#define CONFIRMED_OLD 3 /* the same, and another leader was elected since */
#define ANSWERED 4

/* Replicated state and the leader's timers. */
bit session[2];        /* the session has not expired */
byte count[2];         /* ticks until the granter counts the session as over */
bit draining[2];
byte owner = 2;        /* 2 is none */
byte epoch;            /* ownership epoch of the target */
bit deposed;           /* a former leader still answers */

/* Gateways. */
bit registered[2];     /* the process holds a session epoch */
byte rem[2];           /* lease that is left, in granter's ticks */
byte sync[2];          /* stage of the outstanding Sync call */
byte left[2];          /* what that call's answer may extend the lease to */
byte syncEpoch[2];     /* ownership epoch that the answer carries; 0 is none */
byte own[2];           /* epoch under which the gateway owns the target; 0 is none */
bit opened[2];         /* the target has announced the epoch to this owner */
bit mine[2];           /* reserved for a request that this owner dispatched */
bit listed[2];         /* reserved for work that the target listed */
byte pipe[2];          /* epoch of a dispatch between the lease check and the target */

/* Target. */
byte seen;             /* greatest epoch seen */
byte running;          /* epoch of the work in the only slot; 0 is free */
byte annEpoch;         /* announcement on its way: epoch plus 1; 0 is none */
bit annBusy;
byte answerEpoch;      /* answer to an announcement on its way; 0 is none */

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

/* The leader that expires a session answers none of its calls that it confirmed before. */
inline expire(g) {
  session[g] = 0;
  if :: sync[g] == CONFIRMED -> sync[g] = IDLE; left[g] = 0; syncEpoch[g] = 0 :: else fi;
  if :: owner == g -> assign() :: else fi
}

inline dropOwnership(g) {
  own[g] = 0;
  opened[g] = 0;
  mine[g] = 0;
  listed[g] = 0
}

inline lower(x) {
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
  /* the call is lost, or the gateway gives it up */
  :: d_step { sync[g] != IDLE -> sync[g] = IDLE; left[g] = 0; syncEpoch[g] = 0 }
  :: d_step { sync[g] == SENT && session[g] ->
      sync[g] = CONFIRMED;
      if
      :: owner == g -> syncEpoch[g] = epoch
      :: else -> syncEpoch[g] = 0
      fi }
  :: d_step { sync[g] == CONFIRMED && session[g] -> sync[g] = ANSWERED; count[g] = GRANT }
  :: d_step { sync[g] == CONFIRMED_OLD -> sync[g] = ANSWERED }
#ifdef NO_READ_INDEX_GUARD
  /* a deposed leader answers without confirming its leadership */
  :: d_step { sync[g] == SENT && deposed -> sync[g] = ANSWERED; syncEpoch[g] = own[g] }
#endif
  :: d_step { sync[g] == ANSWERED && registered[g] ->
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
  /* the gateway sees that its lease is over and registers again later */
  :: d_step { registered[g] && rem[g] == 0 && !session[g] ->
      registered[g] = 0; sync[g] = IDLE; left[g] = 0; syncEpoch[g] = 0; dropOwnership(g) }

  /* graceful handover: stop dispatching, then propose DrainGateway */
#ifdef NO_DRAIN_ORDER_GUARD
  :: atomic { registered[g] && session[g] && !draining[g] && owner == g && own[g] == epoch && session[other] ->
      draining[g] = 1; assign() }
#else
  :: atomic { registered[g] && session[g] && !draining[g] && owner == g && own[g] == epoch && session[other] && pipe[g] == 0 ->
      dropOwnership(g); draining[g] = 1; assign() }
#endif

  /* dispatch: lease check first, arrival at the target later */
  :: d_step { VALID(g) && opened[g] && !mine[g] && !listed[g] && pipe[g] == 0 ->
      assert(!VALID(other) && owner == g); /* ONE_GRANT: one gateway dispatches under a valid grant */
      mine[g] = 1;
      pipe[g] = own[g] }
  :: d_step { pipe[g] != 0 ->
      if
#ifndef NO_EPOCH_GUARD
      :: pipe[g] < seen -> /* refused by the target */
         if
         :: own[g] == pipe[g] -> mine[g] = 0
         :: else
         fi
#endif
      :: else ->
         assert(running == 0);                          /* CAPACITY: the only slot is free */
         assert(!opened[other] || own[other] < pipe[g]); /* NO_LATE_WORK: nothing under an old epoch after takeover */
         running = pipe[g];
         if
         :: pipe[g] > seen -> seen = pipe[g]
         :: else
         fi
      fi;
      pipe[g] = 0 }

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
      answerEpoch = own[g];
      annEpoch = 0; annBusy = 0 }
  od
}

proctype target() {
  do
  :: d_step { annEpoch == 0 -> annEpoch = seen + 1; annBusy = (running != 0) }
  :: d_step { annEpoch != 0 -> annEpoch = 0; annBusy = 0 }
  :: d_step { answerEpoch != 0 ->
      if
      :: answerEpoch > seen -> seen = answerEpoch
      :: else
      fi;
      answerEpoch = 0 }
  :: d_step { running != 0 -> /* the work ends and its response arrives */
      if
      :: own[0] == running -> mine[0] = 0
      :: own[1] == running -> mine[1] = 0
      :: else
      fi;
      running = 0 }
  od
}

proctype controllers() {
  do
  :: d_step { rem[0] + rem[1] + left[0] + left[1] + count[0] + count[1] > 0 ->
      lower(rem[0]); lower(rem[1]); lower(left[0]); lower(left[1]); lower(count[0]); lower(count[1]) }
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
