/*
 * Attempts of one job on two targets: target leases, loss, takeover by a new owner, restart, eviction.
 *
 * The owner may change at any time, and messages of a former owner may be delayed for any time. Each
 * step of `clock` is one tick of the granter's clock. README.md describes the variables and guards.
 */
#define TTL 1          /* length of a target lease, in ticks of the target's clock */
#define DRIFT 1        /* ticks by which a target's clock may fall behind during one lease */
#define MAXATTEMPT 3
#define MAXEPOCH(t) (2 - t) /* highest ownership epoch: only target 0 changes its owner, once */

#ifdef NO_DRIFT_GUARD
#define GRANT TTL
#else
#define GRANT (TTL + DRIFT)
#endif

/* Stages of an announcement. */
#define IDLE 0
#define SENT 1
#define CHECKED 2      /* the owner received it and then checked its own session lease */
#define CHECKED_OLD 3  /* as CHECKED, but the owner has been replaced since */
#define RESPONDED 4

/* Stages of the eviction of the open attempt. */
#define NO_EVICTION 0
#define EVICT 1
#define SAVED 2        /* the checkpoint is confirmed */
#define STOPPED 3      /* the stop is confirmed */

/* Replicated state. */
byte attempt;          /* number of the latest attempt */
bit open;              /* the latest attempt is open */
bit place;             /* target of the open attempt */
byte checkpoint;       /* attempt that wrote the job's checkpoint */
byte evicting;
bit done;
byte epoch[2] = 1;
bit lost[2];

/* Owner of each target. */
byte count[2] = GRANT; /* ticks until the owner regards the lease as expired */
byte ann[2];           /* stage of the announcement in flight */
byte left[2];          /* ticks to which the response may extend the target's lease */
byte annEpoch[2];      /* epoch in the response */
byte start[2];         /* attempt of the start message in flight, which may arrive twice; 0 is none */
byte startEpoch[2];
byte startFrom[2];     /* attempt that wrote the checkpoint in the start message */
byte endEvicted;       /* attempt that a resent EndAttempt{evicted} in flight names; 0 is none */

/* Targets. */
byte rem[2] = TTL;
byte seen[2] = 1;
byte running[2];       /* running attempt; 0 is none */
byte remembered[2];    /* bit set of attempts that this process has started */
bit restarted[2];      /* the process has restarted but not joined yet */
byte saved;            /* attempt that wrote the checkpoint held by the owner */

byte started;          /* bit set of attempts that have started on any target */
byte resumed;          /* bit set of evicted attempts that were resumed */
byte evicted;          /* bit set of attempts that were evicted */

#define BIT(n) (1 << (n))

#ifdef NO_EPOCH_GUARD
#define EPOCH_OK(t) true
#else
#define EPOCH_OK(t) (startEpoch[t] >= seen[t])
#endif
#ifdef NO_TARGET_LEASE_GUARD
#define LEASE_OK(t) true
#else
#define LEASE_OK(t) (rem[t] > 0)
#endif
#ifdef NO_ATTEMPT_MEMORY_GUARD
#define ATTEMPT_OK(t) true
#else
#define ATTEMPT_OK(t) (!(remembered[t] & BIT(start[t])))
#endif
#ifdef NO_OPEN_ATTEMPT_GUARD
#define IS_OPEN(n) open
#else
#define IS_OPEN(n) (open && attempt == n)
#endif
#ifdef NO_STOP_GUARD
#define MAY_END evicting >= SAVED
#else
#define MAY_END evicting == STOPPED
#endif
#ifdef NO_CHECKPOINT_GUARD
#define MAY_STOP evicting >= EVICT
#else
#define MAY_STOP evicting == SAVED
#endif
#ifdef NO_LEASE_WAIT_GUARD
#define MAY_LOSE(t) true
#else
#define MAY_LOSE(t) (count[t] == 0)
#endif

inline requeue() {
  open = 0;
  evicting = NO_EVICTION
}

inline decrement(x) {
  if
  :: x > 0 -> x--
  :: else
  fi
}

/* A target stops its task in the step in which its lease expires by its own clock. */
inline tickTarget(t) {
  decrement(left[t]);
  decrement(count[t]);
  if
  :: rem[t] == 1 -> rem[t] = 0; running[t] = 0
  :: rem[t] > 1 -> rem[t]--
  :: else
  fi
}

inline startAttempt(t) {
  assert(running[1 - t] == 0);               /* ONE_PLACE: the job runs on at most one target */
  assert(!(started & BIT(start[t])));        /* STARTED_ONCE: an attempt starts at most once */
  if
  :: evicted & BIT(start[t] - 1) ->
    assert(startFrom[t] == start[t] - 1);    /* CHECKPOINT_KEPT: it resumes from the checkpoint of that eviction */
    assert(!(resumed & BIT(start[t] - 1)));  /* RESUMED_ONCE: an eviction is resumed at most once */
    resumed = resumed | BIT(start[t] - 1)
  :: else
  fi;
  started = started | BIT(start[t]);
  running[t] = start[t];
  remembered[t] = remembered[t] | BIT(start[t])
}

proctype target(bit t) {
  do
  /* scheduler and owner */
  :: d_step { !done && !open && !lost[t] && attempt < MAXATTEMPT && start[t] == 0 ->
      attempt++; open = 1; place = t;
      start[t] = attempt; startEpoch[t] = epoch[t]; startFrom[t] = checkpoint }
  :: d_step { start[t] != 0 -> start[t] = 0; startEpoch[t] = 0; startFrom[t] = 0 }
  /* the start message arrives but stays in flight, because the owner may resend it */
  :: d_step { start[t] != 0 && running[t] == 0 && EPOCH_OK(t) && LEASE_OK(t) && ATTEMPT_OK(t) -> startAttempt(t) }
  :: d_step { running[t] != 0 && open && place == t && attempt == running[t] && evicting == NO_EVICTION ->
      done = 1; open = 0; running[t] = 0 }
  :: d_step { running[t] != 0 && !IS_OPEN(running[t]) && open -> running[t] = 0 } /* stop of a superseded attempt */
  :: d_step { open && place == t && evicting == NO_EVICTION && running[t] == attempt && attempt < MAXATTEMPT ->
      evicting = EVICT }
  :: d_step { open && place == t && evicting == EVICT && running[t] == attempt -> saved = attempt; evicting = SAVED }
  :: d_step { open && place == t && MAY_STOP && running[t] == attempt -> running[t] = 0; evicting = STOPPED }
  :: d_step { open && place == t && MAY_END && endEvicted == 0 ->
      evicted = evicted | BIT(attempt); checkpoint = saved; endEvicted = attempt; requeue() }
  :: d_step { endEvicted != 0 && IS_OPEN(endEvicted) -> requeue(); endEvicted = 0 } /* the resent message arrives */
  :: d_step { endEvicted != 0 -> endEvicted = 0 }

  /* announcements and the target lease */
  :: d_step { ann[t] == IDLE && !restarted[t] -> ann[t] = SENT; left[t] = TTL }
  :: d_step { ann[t] == IDLE && !restarted[t] -> ann[t] = SENT; left[t] = TTL + DRIFT }
  :: d_step { ann[t] != IDLE -> ann[t] = IDLE; left[t] = 0; annEpoch[t] = 0 }
  :: d_step { ann[t] == SENT && !lost[t] -> ann[t] = CHECKED; annEpoch[t] = epoch[t] }
  :: d_step { ann[t] == CHECKED && !lost[t] -> ann[t] = RESPONDED; count[t] = GRANT }
  :: d_step { ann[t] == CHECKED_OLD -> ann[t] = RESPONDED }
#ifdef NO_RENEWAL_SESSION_GUARD
  /* a former owner responds without checking its session lease */
  :: d_step { ann[t] == SENT && epoch[t] > 1 -> ann[t] = RESPONDED; annEpoch[t] = epoch[t] - 1 }
#endif
  :: d_step { ann[t] == RESPONDED ->
      if
      :: annEpoch[t] >= seen[t] ->
         seen[t] = annEpoch[t];
#ifdef NO_SEND_TIME_GUARD
         rem[t] = TTL
#else
         if
         :: left[t] > rem[t] -> rem[t] = left[t]
         :: else
         fi
#endif
      :: else
      fi;
      ann[t] = IDLE; left[t] = 0; annEpoch[t] = 0 }

  /* loss, rejoin, takeover, restart */
  :: d_step { !lost[t] && MAY_LOSE(t) ->
      lost[t] = 1;
      if :: ann[t] == CHECKED -> ann[t] = IDLE; left[t] = 0; annEpoch[t] = 0 :: else fi;
      if :: open && place == t -> requeue() :: else fi }
  :: d_step { lost[t] && epoch[t] < MAXEPOCH(t) ->
      lost[t] = 0; epoch[t]++; count[t] = GRANT; restarted[t] = 0 }
  :: d_step { !lost[t] && epoch[t] < MAXEPOCH(t) ->
      epoch[t]++;
      if :: ann[t] == CHECKED -> ann[t] = CHECKED_OLD :: else fi;
#ifdef NO_TAKEOVER_WAIT_GUARD
      count[t] = 0
#else
      count[t] = GRANT
#endif
      }
  :: d_step { t == 0 && !restarted[t] ->
      running[t] = 0; rem[t] = 0; seen[t] = 0; remembered[t] = 0; ann[t] = IDLE; left[t] = 0; annEpoch[t] = 0;
      restarted[t] = 1 }
#ifdef NO_JOIN_EPOCH_GUARD
  /* the new process joins under the old epoch, and its first announcement ends the old attempt */
  :: d_step { restarted[t] && !lost[t] ->
      restarted[t] = 0;
      if :: open && place == t -> requeue() :: else fi }
#endif
  od
}

proctype clock() {
  do
  :: d_step { rem[0] + rem[1] + left[0] + left[1] + count[0] + count[1] > 0 -> tickTarget(0); tickTarget(1) }
  od
}

init {
  atomic { run target(0); run target(1); run clock() }
}
