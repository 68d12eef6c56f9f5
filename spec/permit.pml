/*
 * Permits and vouching: after a data centre was taken out of service, tasks start in it only for a
 * bounded time (docs/design.md, section 7). spec/README.md lists the bounds, the mapping to the
 * code and the state counts.
 *
 * Entry 0 issues permits and may lose its connection to the store at any moment, which is a run in
 * which it takes no store step. Entry 1 is registered from the start; it changes the data centre,
 * removes other entries, and may crash. Entry 2 is new: it registers, changes the data centre, and
 * may be removed. Each timer holds the remaining time and stops at 0. A paused process takes no
 * step while TICK continues.
 *
 * Steps that can only prevent permits are omitted, since a run without them starts at least as many
 * tasks: an answer that shows the change to the issuer, and, after the change, new registrations,
 * removals of entry 0 and further changes.
 */
#ifndef VALIDITY
#define VALIDITY 1
#endif
#define VOUCHING_LIMIT 5
#ifdef MUTATION_REGISTRATION_WAIT_SHORT
#define REGISTRATION_WAIT 0
#else
#define REGISTRATION_WAIT (VOUCHING_LIMIT + VALIDITY + 1)
#endif
#define MAX_START_DELAY (VALIDITY + 1)

/* Stages of a change at the entry that makes it. */
#define IDLE 0
#define WAITING 1
#define WRITING 2 /* sent; outcome unknown until an answer or a read shows it */

/* Store. `out_of_service` also serves as the revision of the guard key. */
bool out_of_service;
bool registered[3];
bool write_in_flight[3];

/* Whether an entry knows the revision that takes the data centre out of service, and whether it has
   read the store since it started. */
bool knows_change[3];
bool ready[3];
byte stage[3];
byte change_wait[3];

/* Entry 0, the issuer. Entry 1 is always in its registry. */
bool knows_entry2;
/* Validity left of the last guard read that equalled the applied revision. */
byte guard_left;
/* Time left until entry 0 has been without the store for VOUCHING_LIMIT. */
byte vouching_period_left;
/* Validity left of the vouches of entries 1 and 2. */
byte vouch_left[3];
/* A read of the guard and the registry that the store has evaluated; its answer is in flight. */
bool read_in_flight;
bool read_lists_entry2;
byte read_validity_left;
bool registration_during_read;

/* Entry 1. */
bool entry1_lists_entry0;
bool entry1_crashed;
byte removal_stage; /* 0 none, 1 stopped vouching and waiting, 2 removed */
byte removal_wait;

/* Entry 2. */
bool entry2_started;
bool entry2_lists_entry0;
bool acknowledged;
byte registration_left;

/* Scheduler and agent: validity left of the task start that is not handled yet. */
byte not_after;
#ifdef MUTATION_NOT_AFTER_IGNORED
bool start_sent;
#define START_SENT start_sent
#else
#define START_SENT (not_after > 0)
#endif

/* Observer variable: time since the store accepted the write. */
byte ticks_since_write;

#define COUNT_DOWN(x) x = (x > 0 -> x - 1 : 0)

#ifdef MUTATION_VOUCH_LIMIT_IGNORED
#define MAY_VOUCH_PERMIT true
#else
#define MAY_VOUCH_PERMIT (vouching_period_left > 0)
#endif

#ifdef MUTATION_VOUCH_NOT_WITHDRAWN
#define NOT_CHANGING(e) true
#else
#define NOT_CHANGING(e) (stage[e] == IDLE)
#endif

/* A vouch with a higher revision than the issuer's own yields no permit, so it is omitted. */
#ifdef MUTATION_REVISION_NOT_COMPARED
#define NO_HIGHER_REVISION(e) true
#else
#define NO_HIGHER_REVISION(e) (!knows_change[e])
#endif

/* An entry vouches only for requesters that its last read listed, so for none before its first
   read. */
#if defined(MUTATION_VOUCH_TO_UNREGISTERED)
#define LISTS_REQUESTER ready[1]
#elif defined(MUTATION_VOUCH_BEFORE_READ)
#define LISTS_REQUESTER (entry1_lists_entry0 || !ready[1])
#else
#define LISTS_REQUESTER entry1_lists_entry0
#endif

#ifdef MUTATION_REMOVAL_KEEPS_VOUCHING
#define NOT_REMOVING true
#else
#define NOT_REMOVING (removal_stage == 0)
#endif

#ifdef MUTATION_WRITE_WITHOUT_REGISTRATION_COMPARE
#define WRITE_COMPARES(e) true
#else
#define WRITE_COMPARES(e) registered[e]
#endif

#ifdef MUTATION_NO_ACKNOWLEDGEMENT
#define MAY_CHANGE(e) true
#else
#define MAY_CHANGE(e)                                                                         \
  ((e) == 1 || !entry2_lists_entry0 || acknowledged || registration_left == 0)
#endif

#define TICK                                                                                  \
  :: d_step {                                                                                 \
    true ->                                                                                   \
    if                                                                                        \
    :: out_of_service && ticks_since_write <= MAX_START_DELAY -> ticks_since_write++          \
    :: else                                                                                   \
    fi;                                                                                       \
    COUNT_DOWN(guard_left);                                                                   \
    COUNT_DOWN(vouching_period_left);                                                         \
    COUNT_DOWN(vouch_left[1]);                                                                \
    COUNT_DOWN(vouch_left[2]);                                                                \
    tick_read();                                                                              \
    COUNT_DOWN(change_wait[1]);                                                               \
    COUNT_DOWN(change_wait[2]);                                                               \
    COUNT_DOWN(removal_wait);                                                                 \
    COUNT_DOWN(registration_left);                                                            \
    COUNT_DOWN(not_after);                                                                    \
  }

inline tick_read() {
#ifndef MUTATION_READ_COUNTED_FROM_ANSWER
  COUNT_DOWN(read_validity_left)
#else
  skip
#endif
}

/* PermitAuthority::Tick: the store evaluates the read of guard and registry. The code counts the
   validity from the moment when it sends the read, which is earlier. */
#ifdef MUTATION_REGISTRY_WITHOUT_GUARD
#define MAY_READ true
#else
#define MAY_READ (!out_of_service)
#endif

#define ISSUER_READ                                                                           \
  :: d_step {                                                                                 \
    !read_in_flight && registered[0] && MAY_READ ->                                           \
    read_in_flight = true;                                                                    \
    read_lists_entry2 = registered[2];                                                        \
    read_validity_left = VOUCHING_LIMIT;                                                      \
    registration_during_read = false;                                                         \
  }

/* PermitAuthority::OnGuardRead, OnRegistry. */
#define ISSUER_READ_ARRIVES                                                                   \
  :: d_step {                                                                                 \
    read_in_flight ->                                                                         \
    apply_guard();                                                                            \
    vouching_period_left =                                                                    \
    (read_validity_left > vouching_period_left -> read_validity_left : vouching_period_left); \
    apply_registry();                                                                         \
    clear_read();                                                                             \
  }                                                                                           \
  :: d_step { read_in_flight -> clear_read() }

/* With the mutation, entry 0 applies the registry and never learns the guard's revision. */
#ifdef MUTATION_REGISTRY_WITHOUT_GUARD
#define GUARD_READ false
#else
#define GUARD_READ true
#endif

inline apply_guard() {
  if
  :: GUARD_READ && read_validity_left > VOUCHING_LIMIT - VALIDITY ->
    guard_left = read_validity_left - (VOUCHING_LIMIT - VALIDITY)
  :: else
  fi
}

inline apply_registry() {
#ifdef MUTATION_STALE_REGISTRY_READ
  knows_entry2 = read_lists_entry2
#else
  /* A registration that arrived during the read is newer than the registry that was read. */
  knows_entry2 = (read_lists_entry2 || registration_during_read)
#endif
}

inline clear_read() {
  read_in_flight = false;
  read_lists_entry2 = false;
  read_validity_left = 0;
  registration_during_read = false
}

/* VouchRequest and Vouch. The issuer counts the validity from its request, which is earlier than
   the answer that this step models. */
#define VOUCH1                                                                                \
  :: d_step {                                                                                 \
    NOT_CHANGING(1) && NO_HIGHER_REVISION(1) && LISTS_REQUESTER && NOT_REMOVING ->            \
    vouch_left[1] = VALIDITY                                                                  \
  }

#define VOUCH2                                                                                \
  :: d_step {                                                                                 \
    knows_entry2 && ready[2] && NOT_CHANGING(2) && NO_HIGHER_REVISION(2) ->                   \
    vouch_left[2] = VALIDITY                                                                  \
  }

/* PermitAuthority::Issue, then Prepared and Start with not_after. The permit and not_after expire
   together, so one step models all three; a scheduler that is paused in between is equivalent to a
   Start that arrives late. */
#define ISSUE_ON_READ                                                                         \
  :: d_step { guard_left > not_after -> not_after = guard_left; send_start() }

#define LEAST_VOUCH_LEFT                                                                      \
  ((knows_entry2 && vouch_left[2] < vouch_left[1]) -> vouch_left[2] : vouch_left[1])

#define ISSUE_ON_VOUCHES                                                                      \
  :: d_step {                                                                                 \
    MAY_VOUCH_PERMIT && LEAST_VOUCH_LEFT > not_after ->                                       \
    not_after = LEAST_VOUCH_LEFT; send_start();                                               \
    check_vouched_start_reachability();                                                       \
  }

inline send_start() {
#ifdef MUTATION_NOT_AFTER_IGNORED
  start_sent = true;
#endif
  skip
}

inline check_vouched_start_reachability() {
#ifdef REACH_VOUCHED_START
  assert(!(knows_entry2 && guard_left == 0 && vouching_period_left == 1));
#endif
  skip
}

/* AgentCore on Start, and the backend server on PUT /v1/tasks. A Start that is never handled needs
   no step of its own. */
#define START_ARRIVES                                                                         \
  :: d_step {                                                                                 \
    START_SENT ->                                                                             \
    assert(!out_of_service || ticks_since_write <= MAX_START_DELAY);                          \
    not_after = 0;                                                                            \
    clear_start();                                                                            \
  }

inline clear_start() {
#ifdef MUTATION_NOT_AFTER_IGNORED
  start_sent = false;
#endif
  skip
}

/* PermitAuthority::BeginChange. */
#define BEGIN_CHANGE(e)                                                                       \
  :: d_step {                                                                                 \
    !out_of_service && ready[e] && stage[e] == IDLE && MAY_CHANGE(e) ->                       \
    stage[e] = WAITING;                                                                       \
    change_wait[e] = VALIDITY;                                                                \
  }

#define SEND_WRITE(e)                                                                         \
  :: d_step {                                                                                 \
    !out_of_service && stage[e] == WAITING && change_wait[e] == 0 ->                          \
    stage[e] = WRITING;                                                                       \
    write_in_flight[e] = true;                                                                \
  }

/* The transaction compares the guard and the registration of the writer's incarnation. Its answer
   arrives (PermitAuthority::EndChange) or is lost. */
#define WRITE_AT_STORE(e)                                                                     \
  :: atomic {                                                                                 \
    write_in_flight[e] ->                                                                     \
    write_in_flight[e] = false;                                                               \
    if                                                                                        \
    :: !out_of_service && WRITE_COMPARES(e) ->                                                \
      out_of_service = true;                                                                  \
      check_write_reachability(e)                                                             \
    :: else                                                                                   \
    fi;                                                                                       \
    if                                                                                        \
    :: out_of_service && stage[e] == WRITING -> knows_change[e] = true; stage[e] = IDLE       \
    :: true                                                                                   \
    fi                                                                                        \
  }

inline check_write_reachability(e) {
#ifdef REACH_WRITE_BY_NEW_ENTRY
  assert(!((e) == 2 && !acknowledged && registered[0]));
#endif
#ifdef REACH_WRITE_AFTER_REMOVAL
  assert(!((e) == 2 && !registered[0] && not_after > 0));
#endif
  skip
}

inline read_outcome(e) {
  if
  :: out_of_service -> knows_change[e] = true; stage[e] = IDLE; change_wait[e] = 0
#ifdef MUTATION_VOUCH_AFTER_NEGATIVE_READ
  :: !out_of_service && stage[e] == WRITING -> stage[e] = IDLE
#endif
  :: else
  fi
}

/* Entry 1 reads guard and registry. After a crash it first rewrites its registration, so that the
   comparison fails for a write of its earlier incarnation. */
#define READ1                                                                                 \
  :: d_step {                                                                                 \
    true ->                                                                                   \
    if                                                                                        \
    :: !ready[1] -> cancel_old_write()                                                        \
    :: else                                                                                   \
    fi;                                                                                       \
    ready[1] = true;                                                                          \
    entry1_lists_entry0 = registered[0];                                                      \
    read_outcome(1);                                                                          \
  }

inline cancel_old_write() {
#ifdef MUTATION_OLD_INCARNATION_WRITES
  skip
#else
  write_in_flight[1] = false
#endif
}

#define CRASH1                                                                                \
  :: d_step {                                                                                 \
    !entry1_crashed ->                                                                        \
    entry1_crashed = true;                                                                    \
    ready[1] = false;                                                                         \
    knows_change[1] = false;                                                                  \
    stage[1] = IDLE;                                                                          \
    change_wait[1] = 0;                                                                       \
    entry1_lists_entry0 = false;                                                              \
    removal_stage = 0;                                                                        \
    removal_wait = 0;                                                                         \
  }

/* PermitAuthority::BeginRemoval of entry 0. */
#define BEGIN_REMOVAL                                                                         \
  :: d_step {                                                                                 \
    !out_of_service && ready[1] && removal_stage == 0 && entry1_lists_entry0 ->               \
    removal_stage = 1;                                                                        \
    removal_wait = VALIDITY;                                                                  \
  }

#define REMOVE0                                                                               \
  :: d_step {                                                                                 \
    !out_of_service && removal_stage == 1 && removal_wait == 0 ->                             \
    registered[0] = false;                                                                    \
    removal_stage = 2;                                                                        \
  }

/* Entry 2 issues no permits in this model, so its removal needs no wait. */
#define REMOVE2                                                                               \
  :: d_step { ready[1] && registered[2] -> registered[2] = false }

#ifdef MUTATION_EXPIRING_REGISTRY
#define EXPIRE0                                                                               \
  :: d_step { registered[0] -> registered[0] = false }
#else
#define EXPIRE0
#endif

/* Entry 2 registers and then reads the registry. */
#define REGISTER2                                                                             \
  :: d_step { !out_of_service && !entry2_started -> entry2_started = true; registered[2] = true }

#define READ2                                                                                 \
  :: d_step {                                                                                 \
    registered[2] ->                                                                          \
    if                                                                                        \
    :: !ready[2] -> registration_left = REGISTRATION_WAIT                                     \
    :: else                                                                                   \
    fi;                                                                                       \
    ready[2] = true;                                                                          \
    entry2_lists_entry0 = registered[0];                                                      \
    read_outcome(2);                                                                          \
  }

/* Registration arrives at entry 0, and its RegistrationAck at entry 2. */
#define REGISTRATION                                                                          \
  :: d_step {                                                                                 \
    ready[2] && entry2_lists_entry0 && !acknowledged ->                                       \
    knows_entry2 = true;                                                                      \
    registration_during_read = read_in_flight;                                                \
    acknowledged = true;                                                                      \
  }

init {
  d_step {
    registered[0] = true;
    registered[1] = true;
    ready[0] = true;
    ready[1] = true;
    entry1_lists_entry0 = true;
    vouching_period_left = VOUCHING_LIMIT;
  }
  do
  TICK
  ISSUER_READ
  ISSUER_READ_ARRIVES
  VOUCH1
  VOUCH2
  ISSUE_ON_READ
  ISSUE_ON_VOUCHES
  START_ARRIVES
  BEGIN_CHANGE(1)
  BEGIN_CHANGE(2)
  SEND_WRITE(1)
  SEND_WRITE(2)
  WRITE_AT_STORE(1)
  WRITE_AT_STORE(2)
  READ1
  CRASH1
  BEGIN_REMOVAL
  REMOVE0
  REMOVE2
  EXPIRE0
  REGISTER2
  READ2
  REGISTRATION
  od
}
