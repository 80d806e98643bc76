/*
 * Leases of one worker that starts again under its id. Calls name the id only, so that a call for a former
 * process may be executed by a later one, which takes the longest lease that it grants. Starts may be executed
 * late. README.md describes the variables and guards.
 */
#define LIVES 3
#define LEASE 2                     /* lease in a call, in ticks from its sending */
#define LIMIT 4                     /* longest lease that the worker grants */
#define DELAY 2                     /* ticks within which a start is executed */
#define SETTLED (DELAY + LIMIT + 1) /* ticks after which a call has no effect any more */

/* Worker. */
byte life;                          /* its present process */
byte lease;                         /* remaining lease of that process, in ticks */
bit runs;                           /* it runs the attempt */

/* Leader. */
byte known;                         /* process that answered last */
byte place;                         /* process to which the attempt was assigned */
bit assigned;
bit answered;                       /* the start was answered */
bit listed;                         /* the process of the attempt has listed it */
bit closed;                         /* the attempt is closed, so that its task may start elsewhere */
byte since[LIVES] = SETTLED;        /* ticks since the last call with a lease to each process */

/* The start in flight. */
bit start;
byte age;

/* The worker executes a call for process p that was sent some ticks ago. */
inline execute(p, ago) {
  if
  :: p != life -> lease = LIMIT
  :: p == life && LEASE - ago > lease -> lease = LEASE - ago
  :: else
  fi
}

#ifdef NO_STRAY_GUARD
#define OTHERS_SETTLED true
#else
#define OTHERS_SETTLED ((place == 0 || since[0] >= SETTLED) && (place == 1 || since[1] >= SETTLED) && (place == 2 || since[2] >= SETTLED))
#endif

#ifdef NO_DELAY_GUARD
#define UNANSWERED_ENDED (since[place] > LIMIT)
#else
#define UNANSWERED_ENDED (since[place] >= SETTLED)
#endif

#ifdef NO_SUCCESSOR_GUARD
#define SUCCESSOR_ENDED true
#else
#define SUCCESSOR_ENDED (listed || (answered && since[place] > LIMIT) || UNANSWERED_ENDED)
#endif

active proctype system() {
  byte p;
  do
  :: atomic { !assigned -> /* assign the attempt and send its start */
       assigned = 1; place = known; start = 1; age = 0; since[known] = 0 }
  :: atomic { start -> /* the start arrives; an expired lease is refused by the process that it is meant for */
       start = 0;
       if
       :: place == life && age >= LEASE
       :: else ->
            execute(place, age);
            runs = 1;
            assert(!(closed && runs)); /* ONE_RUN */
            if
            :: age == 0 -> answered = 1
            :: skip /* the response is lost, or the leader no longer waits for it */
            fi
       fi }
  :: atomic { start -> start = 0 } /* the start is lost */
  :: atomic { since[known] = 0; /* a hold call with a lease is executed and its response is lost */
       execute(known, 0) }
  :: atomic { since[known] = 0 } /* a hold call is lost */
  :: atomic { life < LIVES - 1 -> /* the worker crashes and starts again */
       life++; lease = 0; runs = 0 }
  :: atomic { known = life; /* an answer without a lease; an attempt of a former process is stopped */
       if
       :: runs && place == life -> listed = 1
       :: runs && place != life -> runs = 0
       :: else
       fi;
       if
       :: assigned && listed && place != life -> closed = 1
       :: else
       fi;
       assert(!(closed && runs)) }
  :: atomic { assigned && !closed && place == known && since[place] > LEASE && OTHERS_SETTLED && SUCCESSOR_ENDED ->
       closed = 1; /* the worker is silent and its leases have expired */
       assert(!(closed && runs)) }
  :: atomic { /* a tick */
       if
       :: lease == 1 -> lease = 0; runs = 0
       :: lease > 1 -> lease--
       :: else
       fi;
       if
       :: start && age == DELAY -> start = 0
       :: start && age < DELAY -> age++
       :: else
       fi;
       p = 0;
       do
       :: p < LIVES -> if :: since[p] < SETTLED -> since[p]++ :: else fi; p++
       :: else -> break
       od; p = 0 }
  od
}
