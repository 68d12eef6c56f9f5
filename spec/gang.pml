/*
 * Gang start: prepare, claim the request record, start (docs/design.md, section 7).
 * Bounds, the mapping to the code and the state counts are in spec/README.md.
 *
 * One process chooses among all enabled atomic steps. Messages are sets, so they may be delayed
 * and overtake each other; a scheduler that is paused is one that takes no step for a while.
 */
#define MEMBERS 2
#define ATTEMPTS 3
/* Attempts 0 and 2 belong to scheduler 0 (epoch 1), attempt 1 to scheduler 1 (epoch 2). */
#define SCHEDULER(k) ((k) % 2)
/* Attempt 2 takes part only with WITH_RETRY; one crash of an agent only with WITH_CRASH. The agents
   are alike, so the crash is that of agent 0. */
#ifdef WITH_CRASH
#define MAY_CRASH(a) ((a) == 0 && incarnation[0] < 1)
#else
#define MAY_CRASH(a) false
#endif
#define EPOCH(k) (SCHEDULER(k) + 1)
#define AT(k, a) ((k) * MEMBERS + (a))
#define BOTH(array, k) (array[AT(k, 0)] && array[AT(k, 1)])

#define OPEN 0
#define FENCED 1
#define CLAIMED(k) (2 + (k))

/* Phases of an attempt at its scheduler. */
#define IDLE 0
#define PREPARING 1
#define CLAIMING 2
#define STARTING 3
#define ENDED 4

bool idempotent;

/* Store: the request record, and writes that travel to the store. */
byte record = OPEN;
bool claim_travels[ATTEMPTS];
bool fence_travels[2];

/* Schedulers. */
bool elected[2];
bool refused[2];
byte phase[ATTEMPTS];
/* Incarnation of the agent (plus 1) that answered Prepared, or 0. */
byte prepared_by[ATTEMPTS * MEMBERS];

/* Messages: 0 (not sent, or of no further effect), 1 (travels), 2 (delivered, may be sent again).
   Only a crash leads to a second delivery; delivered messages are forgotten after the last one. */
byte prepare[ATTEMPTS * MEMBERS];
byte start[ATTEMPTS * MEMBERS];

#define DELIVERED(a) (MAY_CRASH(a) -> 2 : 0)

/* Agents. */
byte incarnation[MEMBERS];
byte seen_epoch[MEMBERS];
bool reserved[ATTEMPTS * MEMBERS];

/* Observations that the properties are stated with; no step depends on them. */
bool ran[ATTEMPTS * MEMBERS];
bool answered_not_run;

#define ANY_RAN(k) (ran[AT(k, 0)] || ran[AT(k, 1)])

inline see_epoch(a, e) {
  if
  :: seen_epoch[a] < e -> seen_epoch[a] = e
  :: else
  fi
}

#ifdef MUTATION_EPOCH_NOT_CHECKED
#define OBEYS(a, k) true
#else
#define OBEYS(a, k) (EPOCH(k) >= seen_epoch[a])
#endif

#ifdef MUTATION_START_UNPREPARED
#define ALL_PREPARED(k) (prepared_by[AT(k, 0)] || prepared_by[AT(k, 1)])
#else
#define ALL_PREPARED(k) BOTH(prepared_by, k)
#endif

#ifdef MUTATION_RESERVATION_NOT_NAMED
#define NAMES_RESERVATION(k, a) true
#else
#define NAMES_RESERVATION(k, a) (prepared_by[AT(k, a)] == incarnation[a] + 1)
#endif

#ifdef MUTATION_START_WITHOUT_RESERVATION
#define MAY_START(k, a) true
#else
#define MAY_START(k, a) (reserved[AT(k, a)] && NAMES_RESERVATION(k, a))
#endif

/* An attempt that ends without Start: neither its Prepare nor its reservations can start anything
   any more, so they are forgotten to keep the state space small. */
inline end_unstarted(k) {
  phase[k] = ENDED;
  prepare[AT(k, 0)] = 0; prepare[AT(k, 1)] = 0;
  reserved[AT(k, 0)] = false; reserved[AT(k, 1)] = false;
  prepared_by[AT(k, 0)] = 0; prepared_by[AT(k, 1)] = 0
}

/* CellCore: a new attempt. A scheduler begins the next one after it has ended the one before. */
#define BEGIN(k)                                                                              \
  :: d_step {                                                                                 \
    phase[k] == IDLE && elected[SCHEDULER(k)] && !refused[SCHEDULER(k)] &&                    \
    ((k) != 2 || phase[0] == ENDED) ->                                                        \
    phase[k] = PREPARING;                                                                     \
    prepare[AT(k, 0)] = 1;                                                                    \
    prepare[AT(k, 1)] = 1;                                                                    \
  }

/* CellCore: all members are prepared; claim the record, or start at once if idempotent. */
#define CLAIM(k)                                                                              \
  :: d_step {                                                                                 \
    phase[k] == PREPARING && ALL_PREPARED(k) && !refused[SCHEDULER(k)] ->                     \
    if                                                                                        \
    :: idempotent -> phase[k] = STARTING; start[AT(k, 0)] = 1; start[AT(k, 1)] = 1            \
    :: else -> phase[k] = CLAIMING; claim_travels[k] = true                                   \
    fi                                                                                        \
  }

/* StoreClient::Txn at the store: compare with open, or find the own token of an earlier try. */
#ifdef MUTATION_RETRY_WITHOUT_COMPARE
#define CLAIM_COMPARES(k) true
#else
#define CLAIM_COMPARES(k) (record == OPEN)
#endif

/* The write takes effect. Its answer arrives, or is lost; then the client repeats the transaction
   (the write travels again), or gives up with an unknown outcome. */
#define CLAIM_AT_STORE(k)                                                                     \
  :: atomic {                                                                                 \
    claim_travels[k] ->                                                                       \
    if                                                                                        \
    :: CLAIM_COMPARES(k) -> record = CLAIMED(k)                                               \
    :: else                                                                                   \
    fi;                                                                                       \
    if                                                                                        \
    :: claim_travels[k] = false; claim_answered(k)                                            \
    :: skip                                                                                   \
    :: phase[k] != CLAIMING -> claim_travels[k] = false                                       \
    fi                                                                                        \
  }

#ifdef MUTATION_CONFLICT_STARTS
#define CLAIM_IS_MINE(k) (record != FENCED)
#else
#define CLAIM_IS_MINE(k) (record == CLAIMED(k))
#endif

inline claim_answered(k) {
  if
  :: phase[k] == CLAIMING ->
    if
    :: CLAIM_IS_MINE(k) -> phase[k] = STARTING; start[AT(k, 0)] = 1; start[AT(k, 1)] = 1
    :: else -> end_unstarted(k)
    fi
  :: else
  fi
}

/* The scheduler gives up with the outcome of the claim unknown; the write may still travel. */
#ifdef MUTATION_UNKNOWN_CLAIM_STARTS
#define CLAIM_UNKNOWN(k)                                                                      \
  :: d_step {                                                                                 \
    phase[k] == CLAIMING -> phase[k] = STARTING; start[AT(k, 0)] = 1; start[AT(k, 1)] = 1     \
  }
#else
#define CLAIM_UNKNOWN(k)                                                                      \
  :: d_step { phase[k] == CLAIMING -> end_unstarted(k) }
#endif

/* CellCore: a member did not prepare or was lost, or the gang ended. StopTask is not modelled: it
   drops a reservation, which may lapse at any moment anyway. */
#define END(k)                                                                                \
  :: d_step { phase[k] == PREPARING -> end_unstarted(k) }                                     \
  :: d_step { phase[k] == STARTING -> phase[k] = ENDED }

/* AgentCore on Prepare. Prepared reaches the scheduler in the same step: one that arrives later is
   a scheduler that acts later. Its loss is the loss of the reservation. */
#define PREPARE_ARRIVES(k, a)                                                                 \
  :: d_step {                                                                                 \
    prepare[AT(k, a)] == 1 ->                                                                 \
    prepare[AT(k, a)] = DELIVERED(a);                                                         \
    if                                                                                        \
    :: OBEYS(a, k) ->                                                                         \
      see_epoch(a, EPOCH(k));                                                                 \
      reserved[AT(k, a)] = true;                                                              \
      if                                                                                      \
      :: phase[k] == PREPARING -> prepared_by[AT(k, a)] = incarnation[a] + 1                  \
      :: else                                                                                 \
      fi                                                                                      \
    :: else                                                                                   \
    fi                                                                                        \
  }

/* AgentCore on Start. The reservation may have lapsed, which is decided only now. */
#define START_ARRIVES(k, a)                                                                   \
  :: d_step {                                                                                 \
    start[AT(k, a)] == 1 ->                                                                   \
    start[AT(k, a)] = DELIVERED(a);                                                           \
    reserved[AT(k, a)] = false;                                                               \
  }                                                                                           \
  :: d_step {                                                                                 \
    start[AT(k, a)] == 1 && OBEYS(a, k) && MAY_START(k, a) ->                                 \
    start[AT(k, a)] = DELIVERED(a);                                                           \
    check_start(k, a);                                                                        \
    see_epoch(a, EPOCH(k));                                                                   \
    reserved[AT(k, a)] = false;                                                               \
    ran[AT(k, a)] = true;                                                                     \
    reach_run(k);                                                                             \
  }

inline check_start(k, a) {
  /* No member starts unless all members were prepared for this attempt. */
  assert(BOTH(prepared_by, k));
  /* An agent starts nothing of a lower epoch than it has seen. */
  assert(EPOCH(k) >= seen_epoch[a]);
  /* A non-idempotent job runs at most once: no other attempt, and no second start of a member. */
  assert(idempotent || !ran[AT(k, a)]);
  assert(idempotent || (k) == 0 || !ANY_RAN(0));
  assert(idempotent || (k) == 1 || !ANY_RAN(1));
  assert(idempotent || (k) == 2 || !ANY_RAN(2));
  /* "Not run" is never followed by a run. */
  assert(idempotent || !answered_not_run);
}

inline reach_run(k) {
#ifdef REACH_WHOLE_GANG
  assert(!(idempotent == false && (k) == 1 && BOTH(ran, k)));
#endif
  skip
}

/* The agent of a lower epoch's command learns of the new scheduler. */
#define SCHEDULER_HELLO(a)                                                                    \
  :: d_step { elected[1] && seen_epoch[a] < 2 -> see_epoch(a, 2) }

/* The host crashes and the agent restarts without its reservations and epoch. Transport sends
   again what was not acknowledged, so a delivered message may arrive a second time. */
#define RESEND(message, k, a)                                                                 \
    if                                                                                        \
    :: message[AT(k, a)] == 2 -> message[AT(k, a)] = 1                                        \
    :: true                                                                                   \
    fi

#define CRASH(a)                                                                              \
  :: atomic {                                                                                 \
    MAY_CRASH(a) ->                                                                           \
    incarnation[a]++;                                                                         \
    seen_epoch[a] = 0;                                                                        \
    reserved[AT(0, a)] = false;                                                               \
    reserved[AT(1, a)] = false;                                                               \
    reserved[AT(2, a)] = false;                                                               \
    RESEND(prepare, 0, a);                                                                    \
    RESEND(prepare, 1, a);                                                                    \
    RESEND(prepare, 2, a);                                                                    \
    RESEND(start, 0, a);                                                                      \
    RESEND(start, 1, a);                                                                      \
    RESEND(start, 2, a);                                                                      \
  }

/* The cell scheduler refuses the job while none of its attempts claims or starts. */
#define BETWEEN_ATTEMPTS(s)                                                                   \
  ((s) == 0 -> (phase[0] != CLAIMING && phase[0] != STARTING && phase[2] != CLAIMING &&       \
                phase[2] != STARTING)                                                         \
             : (phase[1] != CLAIMING && phase[1] != STARTING))

#ifdef MUTATION_NO_FENCE
#define REFUSE(s)                                                                             \
  :: d_step {                                                                                 \
    !idempotent && elected[s] && !refused[s] && BETWEEN_ATTEMPTS(s) ->                        \
    refused[s] = true;                                                                        \
    answer_not_run();                                                                         \
  }
#else
#define REFUSE(s)                                                                             \
  :: d_step {                                                                                 \
    !idempotent && elected[s] && !refused[s] && BETWEEN_ATTEMPTS(s) ->                        \
    refused[s] = true;                                                                        \
    fence_travels[s] = true;                                                                  \
  }
#endif

#ifdef MUTATION_FENCE_IGNORES_CLAIM
#define FENCE_HOLDS true
#else
#define FENCE_HOLDS (record == FENCED)
#endif

/* The fence takes effect. When the answer is lost, the write is repeated, or the caller gets
   "unknown" while the write may still travel. */
#define FENCE_AT_STORE(s)                                                                     \
  :: atomic {                                                                                 \
    fence_travels[s] ->                                                                       \
    if                                                                                        \
    :: record == OPEN -> record = FENCED                                                      \
    :: else                                                                                   \
    fi;                                                                                       \
    if                                                                                        \
    :: FENCE_HOLDS -> fence_travels[s] = false; answer_not_run()                              \
    :: fence_travels[s] = false                                                               \
    :: true                                                                                   \
    fi                                                                                        \
  }

inline answer_not_run() {
  /* "Not run" is never preceded by a run. */
  assert(!ANY_RAN(0) && !ANY_RAN(1) && !ANY_RAN(2));
  answered_not_run = true;
#ifdef REACH_NOT_RUN
  assert(phase[0] == IDLE || phase[1] == IDLE);
#endif
}

#define PER_MEMBER(k, a) PREPARE_ARRIVES(k, a) START_ARRIVES(k, a)
#define PER_ATTEMPT(k)                                                                        \
  BEGIN(k) CLAIM(k) CLAIM_AT_STORE(k) CLAIM_UNKNOWN(k) END(k) PER_MEMBER(k, 0) PER_MEMBER(k, 1)

init {
  atomic {
    if
    :: idempotent = true
    :: idempotent = false
    fi;
    elected[0] = true;
  }
  do
  /* Election: the lease of scheduler 0 lapsed; it may not notice, and goes on. */
  :: d_step { !elected[1] -> elected[1] = true }
  PER_ATTEMPT(0)
  PER_ATTEMPT(1)
#ifdef WITH_RETRY
  PER_ATTEMPT(2)
#endif
  SCHEDULER_HELLO(0)
  SCHEDULER_HELLO(1)
#ifdef WITH_CRASH
  CRASH(0)
#endif
  REFUSE(0)
  REFUSE(1)
  FENCE_AT_STORE(0)
  FENCE_AT_STORE(1)
  :: true -> break
  od
}
