/*
 * Start of a gang: prepare, claim the request record, start (docs/design.md, section 7).
 * spec/README.md lists the bounds, the mapping to the code and the state counts.
 *
 * A single process chooses among all enabled atomic steps. Messages form a set, so they may be
 * delayed and reordered. A paused scheduler is one that takes no step for a while.
 */
#define MEMBERS 2
#define ATTEMPTS 3
/* Attempts 0 and 2 belong to scheduler 0 (epoch 1), attempt 1 to scheduler 1 (epoch 2). */
#define SCHEDULER_OF(k) ((k) % 2)
/* Attempt 2 is enabled by WITH_RETRY, one crash of an agent by WITH_CRASH. The agents are
   identical, so it is enough that agent 0 crashes. */
#ifdef WITH_CRASH
#define MAY_CRASH(a) ((a) == 0 && incarnation[0] < 1)
#else
#define MAY_CRASH(a) false
#endif
#define EPOCH_OF(k) (SCHEDULER_OF(k) + 1)
#define INDEX(k, a) ((k) * MEMBERS + (a))
#define BOTH_MEMBERS(array, k) (array[INDEX(k, 0)] && array[INDEX(k, 1)])

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

/* Store: the request record, and the writes that are in flight to the store. */
byte record = OPEN;
bool claim_in_flight[ATTEMPTS];
bool fence_in_flight[2];

/* Schedulers. */
bool elected[2];
bool refused[2];
byte phase[ATTEMPTS];
/* Incarnation of the agent that answered Prepared, plus 1; 0 before the answer. */
byte prepared_by[ATTEMPTS * MEMBERS];

/* Messages: 0 (not sent, or without further effect), 1 (in flight), 2 (delivered, may be sent
   again). Only a crash leads to a second delivery, so a message returns to 0 on delivery once no
   crash can follow. */
byte prepare[ATTEMPTS * MEMBERS];
byte start[ATTEMPTS * MEMBERS];

#define AFTER_DELIVERY(a) (MAY_CRASH(a) -> 2 : 0)

/* Agents. */
byte incarnation[MEMBERS];
byte highest_epoch[MEMBERS];
bool reserved[ATTEMPTS * MEMBERS];

/* Observer variables for the properties; no step depends on them. */
bool ran[ATTEMPTS * MEMBERS];
bool answered_not_run;

#define ANY_RAN(k) (ran[INDEX(k, 0)] || ran[INDEX(k, 1)])

inline adopt_epoch(a, e) {
  if
  :: highest_epoch[a] < e -> highest_epoch[a] = e
  :: else
  fi
}

#ifdef MUTATION_EPOCH_NOT_CHECKED
#define ACCEPTS_EPOCH(a, k) true
#else
#define ACCEPTS_EPOCH(a, k) (EPOCH_OF(k) >= highest_epoch[a])
#endif

#ifdef MUTATION_START_UNPREPARED
#define ALL_PREPARED(k) (prepared_by[INDEX(k, 0)] || prepared_by[INDEX(k, 1)])
#else
#define ALL_PREPARED(k) BOTH_MEMBERS(prepared_by, k)
#endif

#ifdef MUTATION_RESERVATION_NOT_NAMED
#define NAMES_RESERVATION(k, a) true
#else
#define NAMES_RESERVATION(k, a) (prepared_by[INDEX(k, a)] == incarnation[a] + 1)
#endif

#ifdef MUTATION_START_WITHOUT_RESERVATION
#define MAY_START(k, a) true
#else
#define MAY_START(k, a) (reserved[INDEX(k, a)] && NAMES_RESERVATION(k, a))
#endif

/* Ends an attempt without Start. Its Prepare and its reservations can no longer start a task, so
   they are cleared to keep the state space small. */
inline end_without_start(k) {
  phase[k] = ENDED;
  prepare[INDEX(k, 0)] = 0; prepare[INDEX(k, 1)] = 0;
  reserved[INDEX(k, 0)] = false; reserved[INDEX(k, 1)] = false;
  prepared_by[INDEX(k, 0)] = 0; prepared_by[INDEX(k, 1)] = 0
}

/* CellCore: a new attempt. A scheduler begins its next attempt only after the previous one has
   ended. */
#define BEGIN(k)                                                                              \
  :: d_step {                                                                                 \
    phase[k] == IDLE && elected[SCHEDULER_OF(k)] && !refused[SCHEDULER_OF(k)] &&              \
    ((k) != 2 || phase[0] == ENDED) ->                                                        \
    phase[k] = PREPARING;                                                                     \
    prepare[INDEX(k, 0)] = 1;                                                                 \
    prepare[INDEX(k, 1)] = 1;                                                                 \
  }

/* CellCore: once all members are prepared, claims the record, or starts directly if the job is
   idempotent. */
#define CLAIM(k)                                                                              \
  :: d_step {                                                                                 \
    phase[k] == PREPARING && ALL_PREPARED(k) && !refused[SCHEDULER_OF(k)] ->                  \
    if                                                                                        \
    :: idempotent -> phase[k] = STARTING; start[INDEX(k, 0)] = 1; start[INDEX(k, 1)] = 1      \
    :: else -> phase[k] = CLAIMING; claim_in_flight[k] = true                                 \
    fi                                                                                        \
  }

/* StoreClient::Txn at the store: the record must be open, or hold the claim's own token, which an
   earlier send of the same transaction wrote. */
#ifdef MUTATION_RETRY_WITHOUT_COMPARE
#define CLAIM_COMPARES(k) true
#else
#define CLAIM_COMPARES(k) (record == OPEN)
#endif

/* The write takes effect. Its answer arrives or is lost. After a loss, the client repeats the
   transaction (the write is in flight again) or gives up with an unknown outcome. */
#define CLAIM_AT_STORE(k)                                                                     \
  :: atomic {                                                                                 \
    claim_in_flight[k] ->                                                                     \
    if                                                                                        \
    :: CLAIM_COMPARES(k) -> record = CLAIMED(k)                                               \
    :: else                                                                                   \
    fi;                                                                                       \
    if                                                                                        \
    :: claim_in_flight[k] = false; claim_answered(k)                                          \
    :: skip                                                                                   \
    :: phase[k] != CLAIMING -> claim_in_flight[k] = false                                     \
    fi                                                                                        \
  }

#ifdef MUTATION_CONFLICT_STARTS
#define CLAIM_SUCCEEDED(k) (record != FENCED)
#else
#define CLAIM_SUCCEEDED(k) (record == CLAIMED(k))
#endif

inline claim_answered(k) {
  if
  :: phase[k] == CLAIMING ->
    if
    :: CLAIM_SUCCEEDED(k) -> phase[k] = STARTING; start[INDEX(k, 0)] = 1; start[INDEX(k, 1)] = 1
    :: else -> end_without_start(k)
    fi
  :: else
  fi
}

/* The scheduler gives up while the outcome of the claim is unknown; the write may still be in
   flight. */
#ifdef MUTATION_UNKNOWN_CLAIM_STARTS
#define CLAIM_UNKNOWN(k)                                                                      \
  :: d_step {                                                                                 \
    phase[k] == CLAIMING -> phase[k] = STARTING; start[INDEX(k, 0)] = 1; start[INDEX(k, 1)] = 1 \
  }
#else
#define CLAIM_UNKNOWN(k)                                                                      \
  :: d_step { phase[k] == CLAIMING -> end_without_start(k) }
#endif

/* CellCore: a member did not prepare or was lost, or the gang ended. StopTask is not modelled: it
   only cancels a reservation, and a reservation may expire at any moment anyway. */
#define END(k)                                                                                \
  :: d_step { phase[k] == PREPARING -> end_without_start(k) }                                 \
  :: d_step { phase[k] == STARTING -> phase[k] = ENDED }

/* AgentCore on Prepare. Prepared reaches the scheduler in the same step: a late arrival is
   equivalent to a scheduler that acts later, and a lost Prepared to a lost reservation. */
#define PREPARE_ARRIVES(k, a)                                                                 \
  :: d_step {                                                                                 \
    prepare[INDEX(k, a)] == 1 ->                                                              \
    prepare[INDEX(k, a)] = AFTER_DELIVERY(a);                                                 \
    if                                                                                        \
    :: ACCEPTS_EPOCH(a, k) ->                                                                 \
      adopt_epoch(a, EPOCH_OF(k));                                                            \
      reserved[INDEX(k, a)] = true;                                                           \
      if                                                                                      \
      :: phase[k] == PREPARING -> prepared_by[INDEX(k, a)] = incarnation[a] + 1               \
      :: else                                                                                 \
      fi                                                                                      \
    :: else                                                                                   \
    fi                                                                                        \
  }

/* AgentCore on Start. The first alternative is a reservation that has expired; the model decides
   the expiry only on arrival of Start. */
#define START_ARRIVES(k, a)                                                                   \
  :: d_step {                                                                                 \
    start[INDEX(k, a)] == 1 ->                                                                \
    start[INDEX(k, a)] = AFTER_DELIVERY(a);                                                   \
    reserved[INDEX(k, a)] = false;                                                            \
  }                                                                                           \
  :: d_step {                                                                                 \
    start[INDEX(k, a)] == 1 && ACCEPTS_EPOCH(a, k) && MAY_START(k, a) ->                      \
    start[INDEX(k, a)] = AFTER_DELIVERY(a);                                                   \
    check_start(k, a);                                                                        \
    adopt_epoch(a, EPOCH_OF(k));                                                              \
    reserved[INDEX(k, a)] = false;                                                            \
    ran[INDEX(k, a)] = true;                                                                  \
    check_reachability(k);                                                                    \
  }

inline check_start(k, a) {
  /* A member starts only if all members were prepared for this attempt. */
  assert(BOTH_MEMBERS(prepared_by, k));
  /* An agent starts no task with an epoch lower than the highest that it has seen. */
  assert(EPOCH_OF(k) >= highest_epoch[a]);
  /* A non-idempotent job runs at most once: no other attempt ran, and no member starts twice. */
  assert(idempotent || !ran[INDEX(k, a)]);
  assert(idempotent || (k) == 0 || !ANY_RAN(0));
  assert(idempotent || (k) == 1 || !ANY_RAN(1));
  assert(idempotent || (k) == 2 || !ANY_RAN(2));
  /* "Not run" is never followed by a run. */
  assert(idempotent || !answered_not_run);
}

inline check_reachability(k) {
#ifdef REACH_WHOLE_GANG
  assert(!(idempotent == false && (k) == 1 && BOTH_MEMBERS(ran, k)));
#endif
  skip
}

/* An agent that has only seen the lower epoch learns of the new scheduler. */
#define SCHEDULER_HELLO(a)                                                                    \
  :: d_step { elected[1] && highest_epoch[a] < 2 -> adopt_epoch(a, 2) }

/* The host crashes, and the agent restarts without its reservations and epoch. Transport resends
   unacknowledged messages, so a delivered message may arrive a second time. */
#define RESEND(message, k, a)                                                                 \
    if                                                                                        \
    :: message[INDEX(k, a)] == 2 -> message[INDEX(k, a)] = 1                                  \
    :: true                                                                                   \
    fi

#define CRASH(a)                                                                              \
  :: atomic {                                                                                 \
    MAY_CRASH(a) ->                                                                           \
    incarnation[a]++;                                                                         \
    highest_epoch[a] = 0;                                                                     \
    reserved[INDEX(0, a)] = false;                                                            \
    reserved[INDEX(1, a)] = false;                                                            \
    reserved[INDEX(2, a)] = false;                                                            \
    RESEND(prepare, 0, a);                                                                    \
    RESEND(prepare, 1, a);                                                                    \
    RESEND(prepare, 2, a);                                                                    \
    RESEND(start, 0, a);                                                                      \
    RESEND(start, 1, a);                                                                      \
    RESEND(start, 2, a);                                                                      \
  }

/* The cell scheduler refuses the job while none of its attempts claims or starts. */
#define NO_CLAIM_OR_START(s)                                                                  \
  ((s) == 0 -> (phase[0] != CLAIMING && phase[0] != STARTING && phase[2] != CLAIMING &&       \
                phase[2] != STARTING)                                                         \
             : (phase[1] != CLAIMING && phase[1] != STARTING))

#ifdef MUTATION_NO_FENCE
#define REFUSE(s)                                                                             \
  :: d_step {                                                                                 \
    !idempotent && elected[s] && !refused[s] && NO_CLAIM_OR_START(s) ->                       \
    refused[s] = true;                                                                        \
    answer_not_run();                                                                         \
  }
#else
#define REFUSE(s)                                                                             \
  :: d_step {                                                                                 \
    !idempotent && elected[s] && !refused[s] && NO_CLAIM_OR_START(s) ->                       \
    refused[s] = true;                                                                        \
    fence_in_flight[s] = true;                                                                \
  }
#endif

#ifdef MUTATION_FENCE_IGNORES_CLAIM
#define REFUSAL_CONFIRMED true
#else
#define REFUSAL_CONFIRMED (record == FENCED)
#endif

/* The fence takes effect. If its answer is lost, the write is repeated, or the caller is answered
   "unknown" while the write may still be in flight. */
#define FENCE_AT_STORE(s)                                                                     \
  :: atomic {                                                                                 \
    fence_in_flight[s] ->                                                                     \
    if                                                                                        \
    :: record == OPEN -> record = FENCED                                                      \
    :: else                                                                                   \
    fi;                                                                                       \
    if                                                                                        \
    :: REFUSAL_CONFIRMED -> fence_in_flight[s] = false; answer_not_run()                      \
    :: fence_in_flight[s] = false                                                             \
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
  /* Election: the lease of scheduler 0 has expired. Scheduler 0 may continue without noticing. */
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
