/*
 * Commit of tickets by a group of three controllers, with leader changes.
 *
 * All log entries are tickets that change the same object. Operator 1 sends ticket 1 with content
 * A and resends it because the response may be lost, operator 2 sends ticket 1 with content B, and
 * operator 3 sends ticket 2. README.md describes the variables and guards.
 */
#ifndef MAXTERM
#define MAXTERM 3 /* highest term: at most two leader changes */
#endif
#ifndef MAXLOG
#define MAXLOG 3 /* maximum number of entries in a log */
#endif
#define N 3

#ifdef NO_QUORUM_GUARD
#define QUORUM 1
#else
#define QUORUM 2
#endif

#ifdef NO_VOTE_ONCE_GUARD
#define MAY_VOTE(v, t) (term[v] <= t)
#else
#define MAY_VOTE(v, t) (term[v] < t)
#endif

#ifdef NO_TERM_COMMIT_GUARD
#define MAY_COUNT(l, i) true
#else
#define MAY_COUNT(l, i) (TERM(AT(l, i)) == term[l])
#endif

/* Commands. A log entry is term * 4 + command; 0 is no entry. */
#define T1A 1
#define T1B 2
#define T2C 3
#define CMD(e) ((e) & 3)
#define TERM(e) ((e) >> 2)
#define AT(r, i) log[(r) * MAXLOG + (i)]
#define ACK(l, r) ack[(l) * N + (r)]

byte term[N] = 1;
bit leads[N];
byte log[N * MAXLOG];
byte size[N];
byte synced[N];    /* number of entries that survive a crash */
byte ack[N * N];   /* ack[l, r]: number of entries that r has acknowledged to leader l */

byte sends1A = 2;
bit sent1B;
bit sent2C;

/* The log that leaders have reported as committed, and the state after applying it. */
byte clog[MAXLOG];
byte clen;         /* number of entries in clog */
byte record1;      /* content accepted for ticket 1; 0 is none */
bit record2;       /* ticket 2 was accepted */
byte objectNumber; /* number of the ticket that changed the object last */
byte applied1;     /* number of times that ticket 1 was applied */
byte applied2;

byte k, m, n; /* scratch */

inline lastTerm(r, out) {
  out = 0;
  if
  :: size[r] > 0 -> out = TERM(AT(r, size[r] - 1))
  :: else
  fi
}

inline propose(l, command) {
  AT(l, size[l]) = term[l] * 4 + command;
  size[l]++
}

/* Sets k to the length of the common prefix of both logs. */
inline commonPrefix(a, b) {
  k = 0;
  do
  :: k < size[a] && k < size[b] && AT(a, k) == AT(b, k) -> k++
  :: else -> break
  od
}

/* Applies one committed ticket in the same way as State.submitTicket. */
inline apply(command) {
  if
  :: command == T2C ->
    if
#ifndef NO_RECORD_GUARD
    :: record2 -> skip
#endif
#ifndef NO_NUMBER_GUARD
    :: objectNumber > 2 -> skip
#endif
    :: else ->
      record2 = 1;
      applied2++;
      objectNumber = 2
    fi
  :: else ->
    if
#ifndef NO_RECORD_GUARD
    :: record1 != 0 -> skip /* repeated, or a conflict with the accepted content */
#endif
#ifndef NO_NUMBER_GUARD
    :: objectNumber > 1 -> skip
#endif
    :: else ->
      assert(record1 == 0 || record1 == command); /* ONE_CONTENT: one content per ticket number */
      applied1++;
      record1 = command;
      assert(objectNumber <= 1);                  /* NO_REVERT: the object does not return to an older ticket */
      objectNumber = 1
    fi
  fi;
  assert(applied1 <= 1 && applied2 <= 1)          /* APPLIED_ONCE: a ticket is applied at most once */
}

/* The leader l treats its entry i as committed, applies it and responds. */
inline commit(l, i) {
  if
  :: i < clen ->
    assert(clog[i] == AT(l, i))                   /* COMMITTED_STAYS: a committed entry is never replaced */
  :: else ->
    clog[i] = AT(l, i);
    clen = i + 1;
    apply(CMD(AT(l, i)))
  fi
}

/* c becomes the leader of term t with the vote of v. */
inline elect(c, v, t) {
  n = t; /* parameters of an inline are substituted as text, so t would change with term[c] */
  lastTerm(c, m);
  lastTerm(v, k);
  if
#ifndef NO_VOTE_LOG_GUARD
  :: m < k || (m == k && size[c] < size[v]) -> skip /* vote refused: the voter's log is more up to date */
#endif
  :: else ->
    term[c] = n;
    term[v] = n;
    leads[v] = 0;
    leads[c] = 1;
    ACK(v, 0) = 0; ACK(v, 1) = 0; ACK(v, 2) = 0;
    ACK(c, 0) = 0; ACK(c, 1) = 0; ACK(c, 2) = 0;
    ACK(c, c) = synced[c]
  fi
}

/* The leader c replicates one entry to v. */
inline replicate(c, v) {
  if
  :: leads[c] && c != v && term[v] <= term[c] ->
    if
    :: term[v] < term[c] ->
      term[v] = term[c];
      leads[v] = 0;
      ACK(v, 0) = 0; ACK(v, 1) = 0; ACK(v, 2) = 0
    :: else
    fi;
    commonPrefix(c, v);
    if
    :: k < size[c] ->
      do
      :: size[v] > k -> size[v]--; AT(v, size[v]) = 0
      :: else -> break
      od;
      if
      :: synced[v] > k -> synced[v] = k
      :: else
      fi;
      AT(v, k) = AT(c, k);
      size[v] = k + 1
    :: else
    fi
  :: else
  fi
}

/* v syncs its log to disk and acknowledges it to the leader c of its term. */
inline syncAndAck(c, v) {
#ifndef NO_SYNC_GUARD
  synced[v] = size[v];
#endif
  if
  :: leads[c] && term[c] == term[v] ->
    commonPrefix(c, v);
    if
    :: k > ACK(c, v) -> ACK(c, v) = k
    :: else
    fi
  :: else
  fi
}

/* The process of v crashes and restarts; entries that were not synced are lost. */
inline crash(v) {
  do
  :: size[v] > synced[v] -> size[v]--; AT(v, size[v]) = 0
  :: else -> break
  od;
  leads[v] = 0;
  ACK(v, 0) = 0; ACK(v, 1) = 0; ACK(v, 2) = 0
}

inline tryCommit(c, i) {
  n = (ACK(c, 0) > i) + (ACK(c, 1) > i) + (ACK(c, 2) > i);
  if
  :: leads[c] && i < size[c] && n >= QUORUM && MAY_COUNT(c, i) ->
    k = 0;
    do
    :: k <= i -> commit(c, k); k++
    :: else -> break
    od
  :: else
  fi
}

inline clearScratch() {
  k = 0; m = 0; n = 0
}

proctype link(byte me; byte peer) {
  do
  :: d_step { leads[me] && term[peer] <= term[me] -> replicate(me, peer); clearScratch() }
  :: d_step { leads[me] && term[peer] == term[me] -> syncAndAck(me, peer); clearScratch() }
  :: d_step { term[me] + 1 <= MAXTERM && MAY_VOTE(peer, term[me] + 1) -> elect(me, peer, term[me] + 1); clearScratch() }
  :: d_step { term[me] + 2 <= MAXTERM && MAY_VOTE(peer, term[me] + 2) -> elect(me, peer, term[me] + 2); clearScratch() }
  od
}

proctype replica(byte me) {
  do
  :: d_step { leads[me] && size[me] < MAXLOG && sends1A > 0 -> propose(me, T1A); sends1A-- }
  :: d_step { leads[me] && size[me] < MAXLOG && !sent1B -> propose(me, T1B); sent1B = 1 }
  :: d_step { leads[me] && size[me] < MAXLOG && !sent2C -> propose(me, T2C); sent2C = 1 }
  :: d_step { synced[me] < size[me] || leads[me] -> syncAndAck(me, me); clearScratch() }
  :: d_step { synced[me] < size[me] || leads[me] -> crash(me); clearScratch() }
  :: d_step { leads[me] -> tryCommit(me, 0); clearScratch() }
#if MAXLOG > 1
  :: d_step { leads[me] -> tryCommit(me, 1); clearScratch() }
#endif
#if MAXLOG > 2
  :: d_step { leads[me] -> tryCommit(me, 2); clearScratch() }
#endif
  od
}

init {
  leads[0] = 1;
  atomic {
    run replica(0); run replica(1); run replica(2);
    run link(0, 1); run link(0, 2); run link(1, 0);
    run link(1, 2); run link(2, 0); run link(2, 1)
  }
}
