/*
 * Scheduler, agent and backend server of src/fleet, with restarts of the backend server under its
 * id and calls that are carried out late, also by its next incarnation (docs/platform-design.md,
 * "Protocol"). spec/README.md lists the bounds, the mapping to the code and the state counts.
 *
 * One task and two backend servers. All faults happen on the modelled one; on the other one
 * ("elsewhere") a start is carried out at once and its run never ends, so that each later start is
 * a violation. A call is sent, carried out and answered in one step. One without an answer is
 * carried out in the same step, or kept and perhaps carried out later.
 *
 * There is no clock. A rule that waits for a time is enabled once that holds which the time
 * ensures: the call can't be carried out any more, the stop has taken effect, the lease has ended.
 */
#ifndef INCARNATIONS
#define INCARNATIONS 2
#endif
#ifndef RUNS
#define RUNS 2
#endif
#ifndef TERMS
#define TERMS 1
#endif

/* Kinds of ends. */
#define NONE 0
#define DONE 1
#define OTHER 2 /* stopped, failed or lapsed */

/* Answers of the backend server. */
#define ACCEPTED 1
#define OLD 2
#define REFUSED 3

/* Stages of a start order: on its way, at the agent, answered. */
#define IDLE 0
#define ORDERED 1
#define STARTING 2
#define FENCING 3 /* its outcome is unknown, so the agent stops the run */
#define STARTED 4
#define NOT_STARTED 5
#define FENCED 6
#define UNKNOWN 7

/* Backend server. Its next incarnation knows only its own number. */
byte incarnation = 1;
byte working; /* a run, or 0 */
bool stopping;
byte highest_ended; /* runs up to this one are refused */
byte end_of[RUNS + 1];
byte highest_fence;
bool long_lease; /* a deadline on the clock of the former incarnation was taken for its own */

/* Unanswered calls that may still be carried out; 0 in the first field if there is none. */
byte late_start, late_start_fence, late_start_target;
byte late_stop, late_stop_fence, late_stop_target;
byte late_ack, late_ack_fence, late_ack_target;

/* Agent, with the rows of the last poll that the registered incarnation has answered. */
byte registered = 1;
bool identified = true;
byte agent_term = 1;
byte fence = 1; /* rises with the term and with each registration */
/* No poll has been answered since an acknowledgement, or a start, could still be carried out. */
bool ack_in_doubt, start_in_doubt;
byte recorded_up_to, confirmed_up_to; /* ends that the scheduler has recorded, and acknowledged */
bool rows_current = true; /* read after all calls of earlier terms and for earlier incarnations */
bool rows_fresh;          /* read after the last answer to an order */
bool rows_settled;        /* read while no run was being stopped */
bool rows_certain = true; /* read after the last start order, when no start was in doubt */
byte row;
byte end_row[RUNS + 1];

/* Order to start a run, and the agent's calls for it. */
byte stage, order_run, order_target, order_term, order_fence;
bool in_doubt;

/* Store: the job's record. `doubtful`: no rows since the last start order are certain. */
bool done_recorded, named, doubtful, elsewhere;
byte last_run;
byte term = 1;

/* Scheduler: what it knows in this term of the backend server and its run. */
byte known = 1;
bool listed = true, settled = true;
bool expired; /* the lease has ended, and the agent has not reported since */
byte current;
bool began; /* the start was answered, or the run was listed */
bool is_stopping, stop_confirmed, awaits_answer;
byte last_end;
byte suspect; /* a run that was lost before anything showed that it began */

/* Observers. */
bool lost[RUNS + 1]; /* the run began and was lost with its server */
bool done_acknowledged, started_after_done;

/* Used within a step only. */
byte i, answer, number;

/* The rules, and the mutations that break them. */

#ifdef MUTATION_ACKNOWLEDGE_WHILE_START_IN_DOUBT
#define MAY_ACKNOWLEDGE true
#else
/* A start that is repeated or carried out late could begin the run again. */
#define MAY_ACKNOWLEDGE (!start_in_doubt && late_start == 0 && stage != STARTING)
#endif
#define START_IN_DOUBT (late_start != 0 || stage == ORDERED || stage == STARTING)
#define DUE                                                                                   \
  (identified && MAY_ACKNOWLEDGE && recorded_up_to > confirmed_up_to -> recorded_up_to : 0)
#ifdef MUTATION_ACKNOWLEDGE_UNIDENTIFIED
/* Each poll carries the number, on any connection, as in 8fed3ed. */
#define ACKNOWLEDGED (identified || !MAY_ACKNOWLEDGE -> DUE : recorded_up_to)
#define REACHES_SERVER true
#else
/* An acknowledgement goes over a connection that the identified incarnation has accepted. */
#define ACKNOWLEDGED DUE
#define REACHES_SERVER (ACKNOWLEDGED == 0 || registered == incarnation)
#endif

#ifdef MUTATION_START_WHILE_ACKNOWLEDGEMENT_IN_DOUBT
#define MAY_START identified
#else
#define MAY_START (identified && !ack_in_doubt)
#endif

#ifdef MUTATION_START_WHILE_START_IN_DOUBT
#define IS_CERTAIN true
#else
#define IS_CERTAIN (!doubtful && !START_IN_DOUBT)
#endif

#ifdef MUTATION_REGISTER_WITHOUT_FENCE
#define FENCE_AT_REGISTRATION fence
#else
#define FENCE_AT_REGISTRATION (fence + 1)
#endif

#ifdef MUTATION_COUNT_UNCONFIRMED_CRASH
#define COUNTS_AS_CRASH true
#else
#define COUNTS_AS_CRASH began
#endif
#ifdef MUTATION_CONFIRM_BY_NEXT_INCARNATION
#define CONFIRMS true
#else
/* The clock in the answer, or a registration, shows that another incarnation has answered. */
#define CONFIRMS (order_target == incarnation)
#endif
#ifdef MUTATION_CONFIRM_WHILE_STOPPING
#define MAY_CONFIRM true
#else
/* A start is refused as old also if a stop overtook it. */
#define MAY_CONFIRM (!is_stopping)
#endif

#ifdef MUTATION_RELEASE_WHILE_STOPPING
#define START_ANSWERED true
#else
#define START_ANSWERED (!awaits_answer)
#endif
#ifdef MUTATION_OLD_ROWS_AFTER_STOP
#define ROWS_SETTLED (!stopping)
#else
#define ROWS_SETTLED rows_settled
#endif
#ifdef MUTATION_NO_WAIT_FOR_EARLIER_STOPS
#define RUNS_KNOWN listed
#elif defined(MUTATION_NO_LIST_AFTER_EARLIER_STOPS)
#define RUNS_KNOWN (listed && (settled || !stopping))
#else
#define RUNS_KNOWN (listed && settled)
#endif

#ifdef MUTATION_LEASE_COUNTED_FROM_REPORT
#define LEASE_HAS_ENDED true
#define OUTLASTS_LEASE long_lease
#else
/* Counted from the last moment at which a call may be carried out that extends the lease. */
#define LEASE_HAS_ENDED (late_start == 0)
#define OUTLASTS_LEASE false
#endif

#ifdef REACH_RESTART_WITH_UNREAD_END
#define CHECK_RESTART assert(end_of[1] != DONE || done_recorded)
#else
#define CHECK_RESTART skip
#endif
#ifdef REACH_LATE_START_AT_NEXT_INCARNATION
#define CHECK_LATE_START assert(answer != ACCEPTED || late_start_target == incarnation)
#else
#define CHECK_LATE_START skip
#endif
#ifdef REACH_CRASH_COUNTED
#define CHECK_CRASH assert(false)
#else
#define CHECK_CRASH skip
#endif
#ifdef REACH_ADOPTION_FROM_NEXT_INCARNATION
#define CHECK_ADOPTION assert(known == 1)
#else
#define CHECK_ADOPTION skip
#endif
#ifdef REACH_START_ELSEWHERE_AFTER_RESTART
#define CHECK_START_ELSEWHERE assert(known < 2 || !named)
#else
#define CHECK_START_ELSEWHERE skip
#endif

/* Backend server. */

#define DONE_IS_LISTED (end_of[1] == DONE || end_of[RUNS] == DONE)
#define HIGHER(a, b) (a > b -> a : b)

inline acknowledge(up_to) {
  for (i : 1 .. up_to) {
    if
    :: end_of[i] == DONE ->
#ifndef TWICE_ONLY
      assert(done_recorded); /* UNREAD */
#endif
      assert(!started_after_done); /* TWICE */
      done_acknowledged = true
    :: else
    fi;
    end_of[i] = NONE
  }
  i = 0
}

inline serve_acknowledgement(up_to, target, f) {
  if
  :: f < highest_fence
  :: f >= highest_fence && (target == incarnation || up_to == 0) ->
    highest_fence = f;
    acknowledge(up_to)
  :: else -> highest_fence = f; acknowledge(RUNS) /* the number says nothing about its ends */
  fi
}

inline serve_start(r, target, f) {
  if
  :: f < highest_fence -> answer = REFUSED
  :: f >= highest_fence && r <= highest_ended -> highest_fence = f; answer = OLD
  :: else ->
    highest_fence = f;
    answer = ACCEPTED;
    if
    :: r == working
    :: else ->
      assert(working == 0 && !elsewhere && !done_acknowledged); /* TWICE */
      working = r;
      started_after_done = DONE_IS_LISTED;
      long_lease = long_lease || target != incarnation
    fi
  fi
}

inline serve_stop(r, f) {
  if
  :: f < highest_fence -> answer = REFUSED
  :: else ->
    highest_fence = f;
    answer = ACCEPTED;
    highest_ended = HIGHER(r, highest_ended);
    stopping = stopping || working == r
  fi
}

inline end_run(how) {
  highest_ended = HIGHER(working, highest_ended);
  end_of[working] = how; working = 0; stopping = false
}

#define SERVER                                                                                \
  :: d_step { working != 0 -> end_run(DONE) }                                                 \
  :: d_step { working != 0 -> end_run(OTHER) }                                                \
  :: d_step { /* restart */                                                                   \
    incarnation < INCARNATIONS ->                                                             \
    CHECK_RESTART;                                                                            \
    incarnation++;                                                                            \
    for (i : 1 .. RUNS) {                                                                     \
      lost[i] = lost[i] || working == i || end_of[i] != NONE;                                 \
      end_of[i] = NONE                                                                        \
    }                                                                                         \
    i = 0; working = 0; stopping = false; highest_ended = 0; highest_fence = 0;               \
    long_lease = false; started_after_done = false                                            \
  }

/* Each late call is carried out, or is not any more. */
#define LATE_CALL(call, serve)                                                                \
  :: d_step { call != 0 -> serve; answer = 0; call = 0; call##_fence = 0; call##_target = 0 } \
  :: d_step { call != 0 -> call = 0; call##_fence = 0; call##_target = 0 }
#define KEEP(call, what, target, f) call = what; call##_target = target; call##_fence = f
#define LATE_CALLS                                                                            \
  LATE_CALL(late_start, serve_start(late_start, late_start_target, late_start_fence);         \
            CHECK_LATE_START)                                                                 \
  LATE_CALL(late_stop, serve_stop(late_stop, late_stop_fence))                                \
  LATE_CALL(late_ack, serve_acknowledgement(late_ack, late_ack_target, late_ack_fence))

/* Agent. */

inline adopt_term(t) {
  if
  :: t > agent_term -> agent_term = t; fence++; rows_current = false; rows_fresh = false
  :: else
  fi
}

inline read_rows() {
  row = (stopping -> 0 : working);
  for (i : 1 .. RUNS) { end_row[i] = (i > recorded_up_to -> end_of[i] : NONE) }
  i = 0;
  rows_current = true; rows_fresh = true; rows_settled = !stopping;
  rows_certain = !START_IN_DOUBT;
  ack_in_doubt = ack_in_doubt && late_ack != 0;
  start_in_doubt = start_in_doubt && (late_start != 0 || stage == STARTING)
}

#define FORGET_END_ROWS(up_to) for (i : 1 .. up_to) { end_row[i] = NONE } i = 0

inline poll() {
  number = ACKNOWLEDGED;
  serve_acknowledgement(number, registered, fence);
  identified = registered == incarnation
}

#define AGENT_POLL                                                                            \
  :: d_step {                                                                                 \
    REACHES_SERVER ->                                                                         \
    poll();                                                                                   \
    if                                                                                        \
    :: identified -> confirmed_up_to = HIGHER(number, confirmed_up_to); read_rows()           \
    :: else                                                                                   \
    fi;                                                                                       \
    number = 0                                                                                \
  }                                                                                           \
  :: d_step { REACHES_SERVER -> poll(); identified = false; number = 0 } /* not answered */   \
  :: d_step { /* not carried out yet */                                                       \
    late_ack == 0 ->                                                                          \
    if                                                                                        \
    :: ACKNOWLEDGED != 0 ->                                                                   \
      KEEP(late_ack, ACKNOWLEDGED, registered, fence);                                        \
      ack_in_doubt = true                                                                     \
    :: else                                                                                   \
    fi;                                                                                       \
    identified = false                                                                        \
  }                                                                                           \
  :: d_step { /* registration, after the new incarnation has answered a probe */              \
    registered != incarnation ->                                                              \
    registered = incarnation; fence = FENCE_AT_REGISTRATION; highest_fence = fence;           \
    identified = false; recorded_up_to = 0; confirmed_up_to = 0;                              \
    rows_current = false; rows_fresh = false; rows_settled = false; rows_certain = false;     \
    row = 0; FORGET_END_ROWS(RUNS)                                                            \
  }

#define DOUBT doubtful = true; rows_certain = false
/* The call of an earlier term, or for an earlier incarnation, may have changed what rows show. */
#define CALL_ENDED                                                                            \
  rows_current = rows_current && order_term >= agent_term && order_target == registered
#define ANSWER(s) stage = s; rows_fresh = false

/* Three outcomes of a stop: answered, carried out without an answer, not carried out yet. */
#define STOP_CALL(may, prepare, r, f, answered, unanswered)                                   \
  :: d_step {                                                                                 \
    may ->                                                                                    \
    prepare;                                                                                  \
    serve_stop(r, f);                                                                         \
    if                                                                                        \
    :: answer == ACCEPTED -> answered                                                         \
    :: else -> unanswered                                                                     \
    fi;                                                                                       \
    answer = 0                                                                                \
  }                                                                                           \
  :: d_step { may -> prepare; serve_stop(r, f); unanswered; answer = 0 }                      \
  :: d_step {                                                                                 \
    may && late_stop == 0 -> prepare; KEEP(late_stop, r, 0, f); unanswered                    \
  }

/* A start without an answer is repeated while the incarnation is identified. */
#define MAY_SEND                                                                              \
  (stage == STARTING && (!in_doubt || (identified && registered == order_target)))

#define AGENT_START                                                                           \
  :: d_step { /* the order arrives */                                                         \
    stage == ORDERED ->                                                                       \
    adopt_term(order_term);                                                                   \
    if                                                                                        \
    :: order_term == agent_term && order_target == registered && MAY_START ->                 \
      stage = STARTING;                                                                       \
      order_fence = fence                                                                     \
    :: else -> ANSWER(NOT_STARTED)                                                            \
    fi                                                                                        \
  }                                                                                           \
  :: d_step { /* answered */                                                                  \
    MAY_SEND ->                                                                               \
    CALL_ENDED;                                                                               \
    serve_start(order_run, order_target, order_fence);                                        \
    identified = identified && registered == incarnation; /* by the clock in the answer */    \
    if                                                                                        \
    :: answer == ACCEPTED || (answer == OLD && in_doubt) ->                                   \
      ANSWER((CONFIRMS -> STARTED : UNKNOWN))                                                 \
    :: answer != ACCEPTED && !in_doubt -> ANSWER(NOT_STARTED)                                 \
    :: else -> stage = FENCING                                                                \
    fi;                                                                                       \
    answer = 0                                                                                \
  }                                                                                           \
  :: d_step { /* carried out, not answered */                                                 \
    MAY_SEND ->                                                                               \
    CALL_ENDED;                                                                               \
    serve_start(order_run, order_target, order_fence);                                        \
    answer = 0;                                                                               \
    in_doubt = true; start_in_doubt = true;                                                   \
    DOUBT                                                                                     \
  }                                                                                           \
  :: d_step { /* not carried out yet */                                                       \
    MAY_SEND && late_start == 0 ->                                                            \
    CALL_ENDED;                                                                               \
    KEEP(late_start, order_run, order_target, order_fence);                                   \
    in_doubt = true; start_in_doubt = true;                                                   \
    DOUBT                                                                                     \
  }                                                                                           \
  :: d_step { stage == STARTING && in_doubt -> stage = FENCING }                              \
  STOP_CALL(stage == FENCING, CALL_ENDED, order_run, order_fence, ANSWER(FENCED), ANSWER(UNKNOWN))

/* Scheduler. */

inline release() {
  current = 0; began = false; is_stopping = false; stop_confirmed = false; awaits_answer = false
}

#define FORGET_WORKER(except_list)                                                            \
  release(); known = 0; last_end = 0; suspect = 0;                                            \
  listed = listed && except_list; settled = settled && except_list

/* Without runs, the record names no agent that has listed them. */
#define RELEASE release(); named = named && !(RUNS_KNOWN && IS_CERTAIN)

#define FORGET_ORDER                                                                          \
  stage = IDLE; order_run = 0; order_target = 0; order_term = 0; order_fence = 0; in_doubt = false

#define SCHEDULER_ORDERS                                                                      \
  :: d_step { /* the answer to a start arrives */                                             \
    stage >= STARTED ->                                                                       \
    if                                                                                        \
    :: awaits_answer && order_term == term && order_target == known ->                        \
      awaits_answer = false;                                                                  \
      if                                                                                      \
      :: stage == STARTED -> began = began || MAY_CONFIRM                                     \
      :: stage == NOT_STARTED -> RELEASE                                                      \
      :: else -> is_stopping = true; stop_confirmed = stop_confirmed || stage == FENCED       \
      fi                                                                                      \
    :: stage == STARTED && suspect != 0 && suspect == order_run ->                            \
      assert(lost[suspect]); /* LOST: the answer counts the crash afterwards */               \
      suspect = 0                                                                             \
    :: else                                                                                   \
    fi;                                                                                       \
    FORGET_ORDER                                                                              \
  }                                                                                           \
  :: d_step { stage >= STARTED || stage == ORDERED -> FORGET_ORDER } /* lost on the way */    \
  :: d_step { awaits_answer -> awaits_answer = false; is_stopping = true } /* timeout */      \
  :: d_step { current != 0 && !is_stopping -> is_stopping = true } /* preemption */           \
  STOP_CALL(is_stopping && registered == known && agent_term <= term, adopt_term(term),       \
            current, fence, CONFIRM_STOP, skip)

#define CONFIRM_STOP                                                                          \
  rows_fresh = rows_fresh && stop_confirmed; stop_confirmed = true

inline record_ends() {
  for (i : 1 .. RUNS) {
    if
    :: end_row[i] != NONE && i > last_end ->
      last_end = i;
      done_recorded = done_recorded || end_row[i] == DONE;
      if
      :: current == i -> RELEASE
      :: else
      fi
    :: else
    fi
  }
  i = 0
}

#define ROWS_COUNT                                                                            \
  (rows_current && agent_term == term &&                                                      \
   !((stage == STARTING || stage == FENCING) &&                                               \
     (order_term < agent_term || order_target != registered)))

inline apply_rows() {
  listed = true;
  settled = settled || rows_settled;
  doubtful = doubtful && !rows_certain;
  long_lease = long_lease && !identified; /* from here on the scheduler counts a whole lease */
  if
  :: row != 0 && row == last_run && current == 0 && !done_recorded && !elsewhere ->
    CHECK_ADOPTION;
    suspect = 0;
    current = row;
    named = true
  :: else
  fi;
  if
  :: current != 0 && current == row -> began = true
  :: current != row && rows_fresh && START_ANSWERED &&
     (is_stopping -> stop_confirmed && ROWS_SETTLED : began) ->
    RELEASE
  :: else
  fi
}

inline on_report() {
  if
  :: known != registered ->
    if
    :: known != 0 ->
      listed = false; settled = false;
      if
      :: current != 0 && COUNTS_AS_CRASH -> CHECK_CRASH; assert(lost[current]) /* LOST */
      :: current != 0 && !COUNTS_AS_CRASH && !is_stopping -> suspect = current
      :: else
      fi;
      release()
    :: else
    fi;
    known = registered; last_end = 0; expired = false
  :: else
  fi;
  record_ends();
  if
  :: ROWS_COUNT -> apply_rows()
  :: else
  fi
}

#define MAY_START_TASK (current == 0 && IS_CERTAIN && !done_recorded && !elsewhere)

#define SCHEDULER                                                                             \
  :: d_step { /* report and answer */                                                         \
    on_report();                                                                              \
    recorded_up_to = HIGHER(last_end, recorded_up_to);                                        \
    FORGET_END_ROWS(recorded_up_to);                                                          \
    adopt_term(term)                                                                          \
  }                                                                                           \
  :: d_step { true -> on_report() } /* the answer is lost */                                  \
  :: d_step { /* start on the modelled server */                                              \
    MAY_START_TASK && stage == IDLE && known != 0 && RUNS_KNOWN && last_run < RUNS ->         \
    last_run++; current = last_run; named = true; awaits_answer = true;                       \
    stage = ORDERED; order_run = current; order_target = known; order_term = term;            \
    DOUBT                                                                                     \
  }                                                                                           \
  :: d_step { /* start elsewhere */                                                           \
    MAY_START_TASK && last_run > 0 && (!named || RUNS_KNOWN || expired) ->                    \
    assert(working == 0 && !done_acknowledged); /* TWICE */                                   \
    CHECK_START_ELSEWHERE;                                                                    \
    elsewhere = true;                                                                         \
    started_after_done = DONE_IS_LISTED                                                       \
  }                                                                                           \
  :: d_step { /* new term */                                                                  \
    term < TERMS ->                                                                           \
    term++;                                                                                   \
    expired = false;                                                                          \
    FORGET_WORKER(false)                                                                      \
  }                                                                                           \
  LEASE_ENDS(false)                                                                           \
  LEASE_ENDS(true)

/* For so long no lease has been extended that the runs have ended. The worker is forgotten,
   or kept with what it has listed, if its agent has gone on reporting. Earlier ends don't count. */
#define LEASE_ENDS(kept)                                                                      \
  :: d_step {                                                                                 \
    LEASE_HAS_ENDED && !expired && stage != STARTING && stage != FENCING && (listed || !kept) -> \
    if                                                                                        \
    :: stage == ORDERED -> ANSWER(NOT_STARTED) /* based on an old report */                   \
    :: else                                                                                   \
    fi;                                                                                       \
    if                                                                                        \
    :: OUTLASTS_LEASE                                                                         \
    :: else ->                                                                                \
      for (i : 1 .. RUNS) { end_of[i] = (end_of[i] == DONE -> OTHER : end_of[i]) }            \
      i = 0;                                                                                  \
      started_after_done = false;                                                             \
      if                                                                                      \
      :: working != 0 -> end_run(OTHER)                                                       \
      :: else                                                                                 \
      fi                                                                                      \
    fi;                                                                                       \
    expired = !kept;                                                                          \
    doubtful = false;                                                                         \
    FORGET_WORKER(kept)                                                                       \
  }

init {
end:
  do
  SERVER
  LATE_CALLS
  AGENT_POLL
  AGENT_START
  SCHEDULER_ORDERS
  SCHEDULER
  od
}
