/*
 * Calls of a leader to two workers about one task of a workflow: starts, stops and lists that may be
 * executed late or never, also after their sender has given up or was replaced, because they pass
 * through agents and networks. A worker lists an end until it is acknowledged. README.md describes
 * the variables and guards.
 */
#define MAXATTEMPT 3
#define MAXTERM 2

/* What the leader knows of the start of the open attempt. */
#define INHERITED 0    /* assigned by an earlier leader */
#define PLANNED 1      /* committed, nothing sent */
#define UNANSWERED 2   /* sent, without a response so far */
#define ANSWERED 3
#define IMPOSSIBLE 4   /* refused */

/* Replicated state. */
byte attempt;          /* number of the latest attempt */
bit open;              /* the latest attempt is open */
bit place;             /* worker of the open attempt */
bit done;
byte recorded[2];      /* bit set of attempts whose ends are committed, by worker */

/* Leader. */
byte term = 1;
byte phase;
bit stopAnswered;      /* the worker has answered a stop of the open attempt */
bit listedSince[2];    /* a list that was sent after the last response is the newest one */
bit accepted[2];       /* the worker has answered a list under this term */
byte listRunning[2];   /* running attempt in the newest list; 0 is none */
byte listEnds[2];      /* ends in the newest list */

/* Calls in flight: by attempt, the term of their sender; 0 is none. */
byte start[MAXATTEMPT + 1];
byte stop[MAXATTEMPT + 1];
bit target[MAXATTEMPT + 1]; /* worker to which the attempt was assigned */

/* Workers. */
byte token[2];
byte running[2];       /* running attempt; 0 is none */
byte settled[2];       /* highest attempt that was stopped or has ended */
byte ends[2];          /* bit set of listed ends */
bit endDone[MAXATTEMPT + 1]; /* the attempt ended as done */
bit lapsed[2];         /* the lease has lapsed and was not renewed since */

#define BIT(a) (1 << (a))

/* The newest list of the place has neither the open attempt nor its end. */
#define NOT_LISTED (listedSince[place] && listRunning[place] != attempt && !(listEnds[place] & BIT(attempt)))

#ifdef NO_STOP_GUARD
#define STOP_CONFIRMED true
#else
#define STOP_CONFIRMED stopAnswered
#endif

/* A list under a new term raises the worker's token, which refuses the starts of earlier leaders. */
#ifdef NO_TOKEN_GUARD
#define RAISED(w) token[w]
#else
#define RAISED(w) term
#endif

/* Ends the attempt that runs on worker w. */
inline endRun(w, isDone) {
  endDone[running[w]] = isDone;
  ends[w] = ends[w] | BIT(running[w]);
  settled[w] = (running[w] > settled[w] -> running[w] : settled[w]);
  running[w] = 0;
}

/* Closes the open attempt without an end. */
inline recordLoss() {
  open = 0; stopAnswered = 0; listedSince[0] = 0; listedSince[1] = 0;
}

active proctype leader() {
  byte a;
  bit w;
  do
  :: atomic { !done && !open && attempt < MAXATTEMPT -> /* assign and commit */
       attempt++; open = 1; phase = PLANNED; stopAnswered = 0;
       select(w : 0 .. 1); place = w; target[attempt] = w; listedSince[w] = 0 }
  :: atomic { open && phase == PLANNED && accepted[place] -> /* send the start */
       start[attempt] = term; phase = UNANSWERED; listedSince[place] = 0; lapsed[place] = 0 }
  :: atomic { open && phase == UNANSWERED && !stopAnswered && stop[attempt] == 0 -> /* give the start up and stop it */
       stop[attempt] = term }
  :: atomic { open && phase == IMPOSSIBLE -> recordLoss() }
  :: atomic { open && phase == INHERITED && NOT_LISTED -> recordLoss() }
  :: atomic { open && phase == ANSWERED && NOT_LISTED -> recordLoss() }
  :: atomic { open && phase == UNANSWERED && NOT_LISTED && STOP_CONFIRMED -> recordLoss() }
  :: atomic { open && lapsed[place] && start[attempt] == 0 -> recordLoss() } /* its lease has expired */
  :: atomic { term < MAXTERM -> /* another leader takes over */
       term++; phase = INHERITED; stopAnswered = 0;
       accepted[0] = 0; accepted[1] = 0; listedSince[0] = 0; listedSince[1] = 0 }
  :: atomic { select(w : 0 .. 1); /* a list: the worker answers, and the leader commits its ends */
       if
       :: token[w] <= term ->
            token[w] = RAISED(w); accepted[w] = 1; listRunning[w] = running[w]; listEnds[w] = ends[w] | recorded[w]; listedSince[w] = 1;
            if
            :: open && place == w && running[w] == attempt && (phase == UNANSWERED || phase == INHERITED) -> phase = ANSWERED
            :: else
            fi;
            a = 1;
            do
            :: a > MAXATTEMPT -> break
            :: else ->
                 if
                 :: (ends[w] & BIT(a)) && !(recorded[w] & BIT(a)) ->
                      recorded[w] = recorded[w] | BIT(a);
                      if
                      :: open && a == attempt && place == w -> done = (done || endDone[a]); open = 0; stopAnswered = 0
                      :: else ->
#ifndef NO_LATE_END_GUARD
                           if
                           :: endDone[a] -> done = 1; open = 0
                           :: else
                           fi
#else
                           skip
#endif
                      fi
                 :: else
                 fi;
                 a++
            od
       :: else
       fi; w = 0; a = 0 }
  od
}

active [2] proctype worker() {
  bit w = _pid - 1;
  byte a;
  do
  :: atomic { running[w] -> endRun(w, 1) }
  :: atomic { running[w] -> endRun(w, 0) }
  :: atomic { lapsed[w] == 0 && accepted[w] -> /* the lease lapses: all runs end, and older starts are refused */
       lapsed[w] = 1;
       if
       :: running[w] -> endRun(w, 0)
       :: else
       fi;
       a = 1;
       do
       :: a > MAXATTEMPT -> break
       :: else ->
            if
            :: start[a] && target[a] == w -> start[a] = 0;
                 if
                 :: open && a == attempt && phase == UNANSWERED -> phase = IMPOSSIBLE
                 :: else
                 fi
            :: else
            fi;
            a++
       od; a = 0 }
  :: atomic { ends[w] & recorded[w] -> /* an acknowledgement: the worker forgets recorded ends */
       a = 1;
       do
       :: a > MAXATTEMPT -> break
       :: else ->
            if
            :: (ends[w] & recorded[w] & BIT(a)) && endDone[a] -> assert(done) /* END_COUNTS */
            :: else
            fi;
            a++
       od; a = 0;
       ends[w] = ends[w] & ~recorded[w] }
  :: atomic { select(a : 1 .. MAXATTEMPT); /* a start arrives */
       if
       :: start[a] && target[a] == w ->
            if
            :: start[a] >= token[w] && a > settled[w] ->
                 token[w] = start[a];
                 assert(running[1 - w] == 0); /* ONE_RUN */
                 running[w] = a;
                 if
                 :: open && a == attempt && phase == UNANSWERED && start[a] == term -> phase = ANSWERED; listedSince[w] = 0
                 :: skip /* the response is lost */
                 fi
            :: else ->
                 if
                 :: open && a == attempt && phase == UNANSWERED && start[a] == term -> phase = IMPOSSIBLE
                 :: skip
                 fi
            fi;
            start[a] = 0
       :: else
       fi; a = 0 }
  :: atomic { select(a : 1 .. MAXATTEMPT); /* a stop arrives */
       if
       :: stop[a] && target[a] == w ->
            if
            :: stop[a] >= token[w] ->
                 token[w] = stop[a];
                 if
                 :: running[w] == a -> endRun(w, 0)
                 :: else
                 fi;
                 settled[w] = (a > settled[w] -> a : settled[w]);
                 if
                 :: open && a == attempt && stop[a] == term -> stopAnswered = 1; listedSince[w] = 0
                 :: skip
                 fi
            :: else
            fi;
            stop[a] = 0
       :: else
       fi; a = 0 }
  od
}
