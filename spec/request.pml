/*
 * One non-idempotent request key that callers send through two entries (docs/design.md, section 7,
 * "Non-idempotent requests"). Bounds, the mapping to the code and the state counts are in
 * spec/README.md.
 *
 * Caller c sends its request through entry c and may repeat it there. Entry e proposes job e for
 * the key. Store steps of an entry that is cut off from the store, or of a store that is down, are
 * steps that are not taken; `store_up` only decides what an entry knows about it.
 */
#define NO_JOB 2
#define SENDS 2 /* each caller sends once and repeats once */

/* States of an entry's handling of the request. */
#define IDLE 0
#define CREATING 1 /* the transaction was sent; its outcome is unknown */
#define ATTACHED 2
#define FENCING 3

/* Request record. */
#define ABSENT 0
#define OPEN 1
#define CLAIMED 2
#define FENCED 3

bool store_up = true;
byte record = ABSENT;
byte record_job = NO_JOB;
bool job_record[2];
bool create_travels[2];
bool fence_travels[2];
bool claim_travels[2];

byte entry[2];
byte sends[2];
byte attached[2] = NO_JOB;
byte claims[2]; /* attempts of cell schedulers to run job j, at most 2 */

/* Observations. */
byte runs;
bool answered_not_run;
byte caller_job[2] = NO_JOB;

inline answer_not_run(e) {
  /* "Not run" is never preceded by a run of the key, and never followed by one (start_job). */
  assert(runs == 0);
  answered_not_run = true;
  entry[e] = IDLE
}

inline attach(e) {
  entry[e] = ATTACHED;
  attached[e] = record_job;
  caller_job[e] = record_job;
  /* Both callers see the same job. */
  assert(caller_job[0] == NO_JOB || caller_job[1] == NO_JOB || caller_job[0] == caller_job[1]);
#ifdef REACH_BOTH_ATTACHED
  assert(!(caller_job[0] == 0 && caller_job[1] == 0));
#endif
}

/* EntryCore on a request. With the store up it sends the transaction. */
#define SEND(e)                                                                               \
  :: d_step {                                                                                 \
    entry[e] == IDLE && sends[e] < SENDS && store_up ->                                       \
    sends[e]++;                                                                               \
    entry[e] = CREATING;                                                                      \
    create_travels[e] = true;                                                                 \
  }

/* Without the store, nothing is sent on. The entry cannot know of an earlier send of the key, so
   the answer is "unavailable", which says only that this send added nothing. */
#ifdef MUTATION_NOT_RUN_WITHOUT_STORE
#define SEND_STORE_DOWN(e)                                                                    \
  :: d_step {                                                                                 \
    entry[e] == IDLE && sends[e] < SENDS && !store_up -> sends[e]++; assert(runs == 0)        \
  }
#else
#define SEND_STORE_DOWN(e)                                                                    \
  :: d_step { entry[e] == IDLE && sends[e] < SENDS && !store_up -> sends[e]++ }
#endif

/* StoreClient::Txn at the store: create the request record if absent, with the job record. */
#ifdef MUTATION_CREATE_WITHOUT_COMPARE
#define CREATE_COMPARES true
#else
#define CREATE_COMPARES (record == ABSENT)
#endif

/* The answer arrives; or it is lost and the client repeats the transaction; or it is lost and the
   entry gives up, which leaves the entry idle with the answer "unknown". */
#define CREATE_AT_STORE(e)                                                                    \
  :: atomic {                                                                                 \
    create_travels[e] && store_up ->                                                          \
    if                                                                                        \
    :: CREATE_COMPARES -> record = OPEN; record_job = e; job_record[e] = true                 \
    :: else                                                                                   \
    fi;                                                                                       \
    if                                                                                        \
    :: entry[e] == CREATING -> create_travels[e] = false; attach(e)                           \
    :: true                                                                                   \
    :: entry[e] != CREATING -> create_travels[e] = false                                      \
    fi                                                                                        \
  }

#ifdef MUTATION_GIVE_UP_IS_NOT_RUN
#define GIVE_UP(e)                                                                            \
  :: d_step { entry[e] == CREATING -> answer_not_run(e) }
#else
#define GIVE_UP(e)                                                                            \
  :: d_step { entry[e] == CREATING -> entry[e] = IDLE }
#endif

/* The caller's connection breaks; it may send the key again. */
#define CALLER_REPEATS(e)                                                                     \
  :: d_step { entry[e] == ATTACHED && sends[e] < SENDS -> entry[e] = IDLE; attached[e] = NO_JOB }

/* EntryCore refuses a job that it is attached to, for example at its deadline. */
#ifdef MUTATION_NO_FENCE
#define REFUSE(e)                                                                             \
  :: d_step { entry[e] == ATTACHED -> answer_not_run(e) }
#else
#define REFUSE(e)                                                                             \
  :: d_step { entry[e] == ATTACHED -> entry[e] = FENCING; fence_travels[e] = true }
#endif

#ifdef MUTATION_FENCE_IGNORES_CLAIM
#define FENCE_HOLDS true
#else
#define FENCE_HOLDS (record == FENCED)
#endif

/* The answer is "not run"; it is "unknown" when the record is claimed or the answer stays lost. */
#define FENCE_AT_STORE(e)                                                                     \
  :: atomic {                                                                                 \
    fence_travels[e] && store_up ->                                                           \
    if                                                                                        \
    :: record == OPEN -> record = FENCED                                                      \
    :: else                                                                                   \
    fi;                                                                                       \
    if                                                                                        \
    :: FENCE_HOLDS && entry[e] == FENCING -> fence_travels[e] = false; answer_not_run(e)      \
    :: fence_travels[e] = false; fence_given_up(e)                                            \
    :: true                                                                                   \
    fi                                                                                        \
  }                                                                                           \
  :: d_step { entry[e] == FENCING -> entry[e] = IDLE }

inline fence_given_up(e) {
  if
  :: entry[e] == FENCING -> entry[e] = IDLE
  :: else
  fi
}

inline start_job() {
  runs++;
  /* A non-idempotent job runs at most once. */
  assert(runs <= 1);
  assert(!answered_not_run)
}

/* CellCore: a scheduler that holds the job record, or got SubmitJob, claims before it starts. */
#define CLAIM(j)                                                                              \
  :: d_step {                                                                                 \
    job_record[j] && !claim_travels[j] && claims[j] < 2 ->                                    \
    claims[j]++;                                                                              \
    claim_travels[j] = true;                                                                  \
  }

#ifdef MUTATION_RUN_WITHOUT_CLAIM
#define CLAIM_HOLDS(j) (record != FENCED)
#else
#define CLAIM_HOLDS(j) (record == OPEN && record_job == (j))
#endif

/* The claim takes effect and the attempt runs, or its answer is lost for good and it does not.
   The retry of a claim is in gang.pml. */
#define CLAIM_AT_STORE(j)                                                                     \
  :: atomic {                                                                                 \
    claim_travels[j] && store_up ->                                                           \
    claim_travels[j] = false;                                                                 \
    if                                                                                        \
    :: CLAIM_HOLDS(j) ->                                                                      \
      record = CLAIMED;                                                                       \
      if                                                                                      \
      :: start_job()                                                                          \
      :: true                                                                                 \
      fi                                                                                      \
    :: else                                                                                   \
    fi                                                                                        \
  }

#define PER_ENTRY(e)                                                                          \
  SEND(e) SEND_STORE_DOWN(e) CREATE_AT_STORE(e) GIVE_UP(e) CALLER_REPEATS(e) REFUSE(e)        \
  FENCE_AT_STORE(e) CLAIM(e) CLAIM_AT_STORE(e)

init {
  do
  :: d_step { true -> store_up = !store_up }
  PER_ENTRY(0)
  PER_ENTRY(1)
  od
}
