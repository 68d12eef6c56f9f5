/*
 * One non-idempotent request key that callers send through two entries (docs/design.md, section 7,
 * "Non-idempotent requests"). spec/README.md lists the bounds, the mapping to the code and the
 * state counts.
 *
 * Caller c sends its request through entry c and may repeat it there. Entry e proposes job e for
 * the key. If an entry cannot reach the store, or the store is down, the store steps concerned are
 * not taken; `store_up` decides only what an entry knows about the store.
 */
#define NO_JOB 2
#define MAX_SENDS 2 /* each caller sends once and may repeat once */

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
bool create_in_flight[2];
bool fence_in_flight[2];
bool claim_in_flight[2];

byte state[2];
byte send_count[2];
byte attached_job[2] = NO_JOB;
byte claim_count[2]; /* claims by cell schedulers to run job j, at most 2 */

/* Observer variables for the properties; no step depends on them. */
byte run_count;
bool answered_not_run;
byte caller_job[2] = NO_JOB;

inline answer_not_run(e) {
  /* "Not run" is neither preceded by a run of the key nor followed by one (see start_job). */
  assert(run_count == 0);
  answered_not_run = true;
  state[e] = IDLE
}

inline attach(e) {
  state[e] = ATTACHED;
  attached_job[e] = record_job;
  caller_job[e] = record_job;
  /* Both callers see the same job. */
  assert(caller_job[0] == NO_JOB || caller_job[1] == NO_JOB || caller_job[0] == caller_job[1]);
#ifdef REACH_BOTH_ATTACHED
  assert(!(caller_job[0] == 0 && caller_job[1] == 0));
#endif
}

/* EntryCore on a request: sends the transaction if the store is up. */
#define SEND(e)                                                                               \
  :: d_step {                                                                                 \
    state[e] == IDLE && send_count[e] < MAX_SENDS && store_up ->                              \
    send_count[e]++;                                                                          \
    state[e] = CREATING;                                                                      \
    create_in_flight[e] = true;                                                               \
  }

/* While the store is down, the entry forwards nothing. It cannot know whether the key was sent
   before, so it answers "unavailable", which states only that this send had no effect. */
#ifdef MUTATION_NOT_RUN_WITHOUT_STORE
#define SEND_STORE_DOWN(e)                                                                    \
  :: d_step {                                                                                 \
    state[e] == IDLE && send_count[e] < MAX_SENDS && !store_up ->                             \
    send_count[e]++;                                                                          \
    assert(run_count == 0);                                                                   \
  }
#else
#define SEND_STORE_DOWN(e)                                                                    \
  :: d_step { state[e] == IDLE && send_count[e] < MAX_SENDS && !store_up -> send_count[e]++ }
#endif

/* StoreClient::Txn at the store: create the request record if absent, with the job record. */
#ifdef MUTATION_CREATE_WITHOUT_COMPARE
#define CREATE_COMPARES true
#else
#define CREATE_COMPARES (record == ABSENT)
#endif

/* The answer arrives; or it is lost and the client repeats the transaction; or it is lost and the
   entry gives up, answers "unknown" and is idle again. */
#define CREATE_AT_STORE(e)                                                                    \
  :: atomic {                                                                                 \
    create_in_flight[e] && store_up ->                                                        \
    if                                                                                        \
    :: CREATE_COMPARES -> record = OPEN; record_job = e; job_record[e] = true                 \
    :: else                                                                                   \
    fi;                                                                                       \
    if                                                                                        \
    :: state[e] == CREATING -> create_in_flight[e] = false; attach(e)                         \
    :: true                                                                                   \
    :: state[e] != CREATING -> create_in_flight[e] = false                                    \
    fi                                                                                        \
  }

#ifdef MUTATION_GIVE_UP_IS_NOT_RUN
#define GIVE_UP(e)                                                                            \
  :: d_step { state[e] == CREATING -> answer_not_run(e) }
#else
#define GIVE_UP(e)                                                                            \
  :: d_step { state[e] == CREATING -> state[e] = IDLE }
#endif

/* The caller loses its connection and may send the key again. */
#define CALLER_REPEATS(e)                                                                     \
  :: d_step {                                                                                 \
    state[e] == ATTACHED && send_count[e] < MAX_SENDS ->                                      \
    state[e] = IDLE;                                                                          \
    attached_job[e] = NO_JOB;                                                                 \
  }

/* EntryCore refuses a job that it is attached to, for example when the deadline has passed. */
#ifdef MUTATION_NO_FENCE
#define REFUSE(e)                                                                             \
  :: d_step { state[e] == ATTACHED -> answer_not_run(e) }
#else
#define REFUSE(e)                                                                             \
  :: d_step { state[e] == ATTACHED -> state[e] = FENCING; fence_in_flight[e] = true }
#endif

#ifdef MUTATION_FENCE_IGNORES_CLAIM
#define REFUSAL_CONFIRMED true
#else
#define REFUSAL_CONFIRMED (record == FENCED)
#endif

/* The caller is answered "not run" if the fence was written, and "unknown" if the record was
   already claimed or the store's answer stays lost. */
#define FENCE_AT_STORE(e)                                                                     \
  :: atomic {                                                                                 \
    fence_in_flight[e] && store_up ->                                                         \
    if                                                                                        \
    :: record == OPEN -> record = FENCED                                                      \
    :: else                                                                                   \
    fi;                                                                                       \
    if                                                                                        \
    :: REFUSAL_CONFIRMED && state[e] == FENCING -> fence_in_flight[e] = false; answer_not_run(e) \
    :: fence_in_flight[e] = false; give_up_fence(e)                                           \
    :: true                                                                                   \
    fi                                                                                        \
  }                                                                                           \
  :: d_step { state[e] == FENCING -> state[e] = IDLE }

inline give_up_fence(e) {
  if
  :: state[e] == FENCING -> state[e] = IDLE
  :: else
  fi
}

inline start_job() {
  run_count++;
  /* A non-idempotent job runs at most once. */
  assert(run_count <= 1);
  assert(!answered_not_run)
}

/* CellCore: a scheduler that has read the job record or received SubmitJob claims the request
   record before it starts the job. */
#define CLAIM(j)                                                                              \
  :: d_step {                                                                                 \
    job_record[j] && !claim_in_flight[j] && claim_count[j] < 2 ->                             \
    claim_count[j]++;                                                                         \
    claim_in_flight[j] = true;                                                                \
  }

#ifdef MUTATION_RUN_WITHOUT_CLAIM
#define CLAIM_SUCCEEDS(j) (record != FENCED)
#else
#define CLAIM_SUCCEEDS(j) (record == OPEN && record_job == (j))
#endif

/* The claim takes effect. Then the attempt runs, or it does not because the store's answer is lost
   for good. gang.pml models the retry of a claim. */
#define CLAIM_AT_STORE(j)                                                                     \
  :: atomic {                                                                                 \
    claim_in_flight[j] && store_up ->                                                         \
    claim_in_flight[j] = false;                                                               \
    if                                                                                        \
    :: CLAIM_SUCCEEDS(j) ->                                                                   \
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
