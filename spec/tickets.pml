/*
 * Ticket commit by a group of three controllers with changes of leader.
 *
 * All entries of the log are tickets on one object. Operator 1 sends ticket 1 with content A and
 * sends it again after a lost answer, operator 2 sends ticket 1 with content B, operator 3 sends
 * ticket 2. README.md describes the variables and the guards.
 */
#ifndef MAXTERM
#define MAXTERM 3 /* at most two changes of leader */
#endif
#ifndef MAXLOG
#define MAXLOG 3 /* entries in one log */
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

/* Commands: an entry is term * 4 + command; 0 is no entry. */
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
byte synced[N];    /* entries that survive a crash */
byte ack[N * N];   /* ack[l, r]: entries of leader l that r has confirmed to it */

byte sends1A = 2;
bit sent1B;
bit sent2C;

/* The committed log and the object, as the answers to operators describe them. */
byte clog[MAXLOG];
byte clen;
byte record1;      /* content that was accepted for ticket 1 */
bit record2;
byte objectNumber; /* ticket that the object was last changed by */
byte applied1;
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

/* k = number of equal entries at the start of both logs */
inline commonPrefix(a, b) {
  k = 0;
  do
  :: k < size[a] && k < size[b] && AT(a, k) == AT(b, k) -> k++
  :: else -> break
  od
}

/* Apply of one committed ticket, as State.submitTicket does it. */
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
    :: record1 != 0 -> skip /* repeated, or a conflict that names the accepted one */
#endif
#ifndef NO_NUMBER_GUARD
    :: objectNumber > 1 -> skip
#endif
    :: else ->
      assert(record1 == 0 || record1 == command); /* ONE_CONTENT: one content per number */
      applied1++;
      record1 = command;
      assert(objectNumber <= 1);                  /* NO_REVERT: an accepted ticket never reverts */
      objectNumber = 1
    fi
  fi;
  assert(applied1 <= 1 && applied2 <= 1)          /* APPLIED_ONCE: no second application */
}

/* The leader l counts its entry i as committed, applies it and answers. */
inline commit(l, i) {
  if
  :: i < clen ->
    assert(clog[i] == AT(l, i))                   /* COMMITTED_STAYS: the answer given stays true */
  :: else ->
    clog[i] = AT(l, i);
    clen = i + 1;
    apply(CMD(AT(l, i)))
  fi
}

/* c becomes leader of term t with the vote of v. */
inline elect(c, v, t) {
  n = t; /* a parameter of an inline is text: t would change with term[c] */
  lastTerm(c, m);
  lastTerm(v, k);
  if
#ifndef NO_VOTE_LOG_GUARD
  :: m < k || (m == k && size[c] < size[v]) -> skip /* refused: the voter's log is more recent */
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

/* The leader c sends one entry to v. */
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

/* v syncs its log and confirms to the leader c of its term. */
inline syncAndConfirm(c, v) {
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

/* The process of v ends and starts again; what was not synced is lost. */
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

inline forget() {
  k = 0; m = 0; n = 0
}

proctype link(byte me; byte peer) {
  do
  :: d_step { leads[me] && term[peer] <= term[me] -> replicate(me, peer); forget() }
  :: d_step { leads[me] && term[peer] == term[me] -> syncAndConfirm(me, peer); forget() }
  :: d_step { term[me] + 1 <= MAXTERM && MAY_VOTE(peer, term[me] + 1) -> elect(me, peer, term[me] + 1); forget() }
  :: d_step { term[me] + 2 <= MAXTERM && MAY_VOTE(peer, term[me] + 2) -> elect(me, peer, term[me] + 2); forget() }
  od
}

proctype replica(byte me) {
  do
  :: d_step { leads[me] && size[me] < MAXLOG && sends1A > 0 -> propose(me, T1A); sends1A-- }
  :: d_step { leads[me] && size[me] < MAXLOG && !sent1B -> propose(me, T1B); sent1B = 1 }
  :: d_step { leads[me] && size[me] < MAXLOG && !sent2C -> propose(me, T2C); sent2C = 1 }
  :: d_step { synced[me] < size[me] || leads[me] -> syncAndConfirm(me, me); forget() }
  :: d_step { synced[me] < size[me] || leads[me] -> crash(me); forget() }
  :: d_step { leads[me] -> tryCommit(me, 0); forget() }
#if MAXLOG > 1
  :: d_step { leads[me] -> tryCommit(me, 1); forget() }
#endif
#if MAXLOG > 2
  :: d_step { leads[me] -> tryCommit(me, 2); forget() }
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
