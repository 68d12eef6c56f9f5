/*
 * Permits and vouching: no task starts in a data centre long after it was taken out of service
 * (docs/design.md, section 7). Bounds, the mapping to the code and the state counts are in
 * spec/README.md.
 *
 * Entry 0 issues permits and may be cut off from the store at any moment, which is a run in which
 * it takes no store step. Entry 1 is registered from the start; it changes the data centre, removes
 * other entries, and may crash. Entry 2 is new: it registers, changes the data centre, and may be
 * removed. Each timer holds the remaining time and stops at 0. A paused process takes no step while
 * Tick goes on.
 *
 * Steps that only withhold permits are left out, since a run without them starts no less: an answer
 * that shows the issuer the change, and, after the change, new registrations, removals of entry 0
 * and further changes.
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
#define BOUND (VALIDITY + 1)

/* Stages of a change at the entry that makes it. */
#define IDLE 0
#define WAITING 1
#define WRITING 2 /* sent; the outcome is unknown until an answer or a read shows it */

/* Store. `out` is also the revision of the guard key. */
bool out;
bool registered[3];
bool write_travels[3];

/* Whether an entry knows the revision that takes the data centre out, and whether it has read the
   store since it started. */
bool knows[3];
bool ready[3];
byte change[3];
byte change_wait[3];

/* Entry 0, the issuer. Entry 1 is always in its registry. */
bool knows_entry2;
byte guard_proof;   /* validity left of the last guard read that equalled the applied revision */
byte vouching_left; /* time left until entry 0 has been without the store for VOUCHING_LIMIT */
byte vouch[3];      /* validity left of the vouch of entry 1 and of entry 2 */
/* A read of the guard and the registry, evaluated by the store, whose answer travels. */
bool read_travels;
bool read_entry2;
byte read_left;
bool registration_during_read;

/* Entry 1. */
bool entry1_lists_entry0;
bool entry1_crashed;
byte removing0; /* 0 no, 1 stopped vouching and waits, 2 removed */
byte removal_wait;

/* Entry 2. */
bool entry2_started;
bool entry2_lists_entry0;
bool acknowledged;
byte registration_left;

/* Scheduler and agent: validity left of the task start that they have yet to handle. */
byte not_after;
#ifdef MUTATION_NOT_AFTER_IGNORED
bool start_sent;
#define START_SENT start_sent
#else
#define START_SENT (not_after > 0)
#endif

/* Observation: time since the store accepted the write. */
byte since_write;

#define DECREASE(x) x = (x > 0 -> x - 1 : 0)

#ifdef MUTATION_VOUCH_LIMIT_IGNORED
#define MAY_VOUCH_PERMIT true
#else
#define MAY_VOUCH_PERMIT (vouching_left > 0)
#endif

#ifdef MUTATION_VOUCH_NOT_WITHDRAWN
#define NOT_CHANGING(e) true
#else
#define NOT_CHANGING(e) (change[e] == IDLE)
#endif

/* A vouch with a higher revision than the issuer's own gives no permit, so it is left out. */
#ifdef MUTATION_REVISION_NOT_COMPARED
#define NO_HIGHER_REVISION(e) true
#else
#define NO_HIGHER_REVISION(e) (!knows[e])
#endif

/* An entry vouches only to those that its last read listed, so to none before its first read. */
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
#define NOT_REMOVING (removing0 == 0)
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
    :: out && since_write <= BOUND -> since_write++                                           \
    :: else                                                                                   \
    fi;                                                                                       \
    DECREASE(guard_proof);                                                                    \
    DECREASE(vouching_left);                                                                  \
    DECREASE(vouch[1]);                                                                       \
    DECREASE(vouch[2]);                                                                       \
    tick_read();                                                                              \
    DECREASE(change_wait[1]);                                                                 \
    DECREASE(change_wait[2]);                                                                 \
    DECREASE(removal_wait);                                                                   \
    DECREASE(registration_left);                                                              \
    DECREASE(not_after);                                                                      \
  }

inline tick_read() {
#ifndef MUTATION_READ_COUNTED_FROM_ANSWER
  DECREASE(read_left)
#else
  skip
#endif
}

/* PermitAuthority::Tick: the store evaluates the read of guard and registry. The code counts its
   validity from an earlier moment, when it sent the read. */
#ifdef MUTATION_REGISTRY_WITHOUT_GUARD
#define MAY_READ true
#else
#define MAY_READ (!out)
#endif

#define ISSUER_READ                                                                           \
  :: d_step {                                                                                 \
    !read_travels && registered[0] && MAY_READ ->                                             \
    read_travels = true;                                                                      \
    read_entry2 = registered[2];                                                              \
    read_left = VOUCHING_LIMIT;                                                               \
    registration_during_read = false;                                                         \
  }

/* PermitAuthority::OnGuardRead, OnRegistry. */
#define ISSUER_READ_ARRIVES                                                                   \
  :: d_step {                                                                                 \
    read_travels ->                                                                           \
    adopt_guard();                                                                            \
    vouching_left = (read_left > vouching_left -> read_left : vouching_left);                 \
    adopt_registry();                                                                         \
    forget_read();                                                                            \
  }                                                                                           \
  :: d_step { read_travels -> forget_read() }

/* With the mutation, entry 0 adopts the registry and never hears of the guard's revision. */
#ifdef MUTATION_REGISTRY_WITHOUT_GUARD
#define GUARD_READ false
#else
#define GUARD_READ true
#endif

inline adopt_guard() {
  if
  :: GUARD_READ && read_left > VOUCHING_LIMIT - VALIDITY ->
    guard_proof = read_left - (VOUCHING_LIMIT - VALIDITY)
  :: else
  fi
}

inline adopt_registry() {
#ifdef MUTATION_STALE_REGISTRY_READ
  knows_entry2 = read_entry2
#else
  /* A registration that arrived during the read is newer than the registry that was read. */
  knows_entry2 = (read_entry2 || registration_during_read)
#endif
}

inline forget_read() {
  read_travels = false;
  read_entry2 = false;
  read_left = 0;
  registration_during_read = false
}

/* VouchRequest and Vouch. The issuer counts the validity from its request, which is earlier than
   the answer that this step stands for. */
#define VOUCH1                                                                                \
  :: d_step {                                                                                 \
    NOT_CHANGING(1) && NO_HIGHER_REVISION(1) && LISTS_REQUESTER && NOT_REMOVING -> \
    vouch[1] = VALIDITY                                                                       \
  }

#define VOUCH2                                                                                \
  :: d_step {                                                                                 \
    knows_entry2 && ready[2] && NOT_CHANGING(2) && NO_HIGHER_REVISION(2) ->                   \
    vouch[2] = VALIDITY                                                                       \
  }

/* PermitAuthority::Issue, then Prepared and Start with not_after. The permit and not_after run out
   together, so one step stands for all three; a scheduler that is frozen in between is a Start that
   arrives late. */
#define ISSUE_ON_READ                                                                         \
  :: d_step { guard_proof > not_after -> not_after = guard_proof; send_start() }

#define VOUCH_PROOF ((knows_entry2 && vouch[2] < vouch[1]) -> vouch[2] : vouch[1])

#define ISSUE_ON_VOUCHES                                                                      \
  :: d_step {                                                                                 \
    MAY_VOUCH_PERMIT && VOUCH_PROOF > not_after ->                                            \
    not_after = VOUCH_PROOF; send_start();                                                    \
    reach_vouched_start();                                                                    \
  }

inline send_start() {
#ifdef MUTATION_NOT_AFTER_IGNORED
  start_sent = true;
#endif
  skip
}

inline reach_vouched_start() {
#ifdef REACH_VOUCHED_START
  assert(!(knows_entry2 && guard_proof == 0 && vouching_left == 1));
#endif
  skip
}

/* AgentCore on Start, and the backend server on PUT /v1/tasks. The check needs no step of its own
   to leave the Start unhandled. */
#define START_ARRIVES                                                                         \
  :: d_step {                                                                                 \
    START_SENT ->                                                                             \
    assert(!out || since_write <= BOUND);                                                     \
    not_after = 0;                                                                            \
    forget_start();                                                                           \
  }

inline forget_start() {
#ifdef MUTATION_NOT_AFTER_IGNORED
  start_sent = false;
#endif
  skip
}

/* PermitAuthority::BeginChange. */
#define BEGIN_CHANGE(e)                                                                       \
  :: d_step {                                                                                 \
    !out && ready[e] && change[e] == IDLE && MAY_CHANGE(e) ->                                 \
    change[e] = WAITING;                                                                      \
    change_wait[e] = VALIDITY;                                                                \
  }

#define SEND_WRITE(e)                                                                         \
  :: d_step {                                                                                 \
    !out && change[e] == WAITING && change_wait[e] == 0 ->                                    \
    change[e] = WRITING;                                                                      \
    write_travels[e] = true;                                                                  \
  }

/* The transaction compares the guard and the registration of the writer's incarnation. Its answer
   arrives (PermitAuthority::EndChange) or is lost. */
#define WRITE_AT_STORE(e)                                                                     \
  :: atomic {                                                                                 \
    write_travels[e] ->                                                                       \
    write_travels[e] = false;                                                                 \
    if                                                                                        \
    :: !out && WRITE_COMPARES(e) -> out = true; reach_write(e)                                \
    :: else                                                                                   \
    fi;                                                                                       \
    if                                                                                        \
    :: out && change[e] == WRITING -> knows[e] = true; change[e] = IDLE                       \
    :: true                                                                                   \
    fi                                                                                        \
  }

inline reach_write(e) {
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
  :: out -> knows[e] = true; change[e] = IDLE; change_wait[e] = 0
#ifdef MUTATION_VOUCH_AFTER_NEGATIVE_READ
  :: !out && change[e] == WRITING -> change[e] = IDLE
#endif
  :: else
  fi
}

/* Entry 1 reads guard and registry. After a crash it first writes its registration anew, and a
   write of its earlier incarnation no longer compares equal. */
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
  write_travels[1] = false
#endif
}

#define CRASH1                                                                                \
  :: d_step {                                                                                 \
    !entry1_crashed ->                                                                        \
    entry1_crashed = true;                                                                    \
    ready[1] = false;                                                                         \
    knows[1] = false;                                                                         \
    change[1] = IDLE;                                                                         \
    change_wait[1] = 0;                                                                       \
    entry1_lists_entry0 = false;                                                              \
    removing0 = 0;                                                                            \
    removal_wait = 0;                                                                         \
  }

/* PermitAuthority::BeginRemoval of entry 0. */
#define BEGIN_REMOVAL                                                                         \
  :: d_step {                                                                                 \
    !out && ready[1] && removing0 == 0 && entry1_lists_entry0 ->                              \
    removing0 = 1;                                                                            \
    removal_wait = VALIDITY;                                                                  \
  }

#define REMOVE0                                                                               \
  :: d_step {                                                                                 \
    !out && removing0 == 1 && removal_wait == 0 -> registered[0] = false; removing0 = 2       \
  }

/* Entry 2 issues no permits here, so its removal needs no wait. */
#define REMOVE2                                                                               \
  :: d_step { ready[1] && registered[2] -> registered[2] = false }

#ifdef MUTATION_EXPIRING_REGISTRY
#define EXPIRE0                                                                               \
  :: d_step { registered[0] -> registered[0] = false }
#else
#define EXPIRE0
#endif

/* Entry 2 registers, then reads the registry. */
#define REGISTER2                                                                             \
  :: d_step { !out && !entry2_started -> entry2_started = true; registered[2] = true }

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

/* Registration reaches entry 0 and RegistrationAck comes back. */
#define REGISTRATION                                                                          \
  :: d_step {                                                                                 \
    ready[2] && entry2_lists_entry0 && !acknowledged ->                                       \
    knows_entry2 = true;                                                                      \
    registration_during_read = read_travels;                                                  \
    acknowledged = true;                                                                      \
  }

init {
  d_step {
    registered[0] = true;
    registered[1] = true;
    ready[0] = true;
    ready[1] = true;
    entry1_lists_entry0 = true;
    vouching_left = VOUCHING_LIMIT;
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
