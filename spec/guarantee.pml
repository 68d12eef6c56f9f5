/*
 * Guarantees bound to accelerator runs, tasks beyond their guarantee (borrowed), reclaim, loss of
 * workers and rebinding (docs/design.md, section 7, "Guarantees and placement"). spec/README.md
 * lists the bounds, the mapping to the code and the state counts.
 */
#define WORKERS 3
#define WORKER_SIZE 2 /* accelerators per worker */
#define ACCELERATORS 6
#define GUARANTEES 4
/* Guarantee 0 is a run of 2; guarantees 1 to 3 are runs of 1. */
#define LENGTH(g) ((g) == 0 -> 2 : 1)
#define NONE 255

/* Occupant of an accelerator: none, a task within guarantee g, or a borrowed task. */
#define FREE 0
#define GUARANTEED(g) (1 + (g))
#define BORROWED 9

bool up[WORKERS];
bool granted[GUARANTEES];
byte bound[GUARANTEES] = NONE; /* first accelerator of the run */
byte occupant[ACCELERATORS];

byte i;
byte best;

#define IN_RUN(g, u) (bound[g] != NONE && (u) >= bound[g] && (u) < bound[g] + LENGTH(g))
#define IN_BOUND_RUN(u) (IN_RUN(0, u) || IN_RUN(1, u) || IN_RUN(2, u) || IN_RUN(3, u))
#define UP_COUNT (up[0] + up[1] + up[2])

/* A bound run holds only tasks of its own guarantee and borrowed tasks, so preempting the borrowed
   tasks makes it available to the guarantee. */
#define RECLAIMABLE_AT(g, u)                                                                  \
  (!IN_RUN(g, u) || occupant[u] == FREE || occupant[u] == BORROWED || occupant[u] == GUARANTEED(g))
#define RECLAIMABLE(g)                                                                        \
  (RECLAIMABLE_AT(g, 0) && RECLAIMABLE_AT(g, 1) && RECLAIMABLE_AT(g, 2) &&                    \
   RECLAIMABLE_AT(g, 3) && RECLAIMABLE_AT(g, 4) && RECLAIMABLE_AT(g, 5))

#define WORKERS_REQUIRED (granted[0] + (granted[1] + granted[2] + granted[3] + 1) / WORKER_SIZE)
#define PACKABLE (UP_COUNT >= WORKERS_REQUIRED)
#define SATISFIED(g) (!granted[g] || bound[g] != NONE)
#define ALL_BOUND (SATISFIED(0) && SATISFIED(1) && SATISFIED(2) && SATISFIED(3))

inline check_properties() {
  assert(RECLAIMABLE(0) && RECLAIMABLE(1) && RECLAIMABLE(2) && RECLAIMABLE(3));
  /* All guarantees are bound while the workers that are up have the capacity for all of them. */
  assert(!PACKABLE || ALL_BOUND)
}

#ifdef MUTATION_BIND_OVERLAP
#define BINDABLE(u) (up[(u) / WORKER_SIZE])
#else
#define BINDABLE(u) (up[(u) / WORKER_SIZE] && !IN_BOUND_RUN(u))
#endif

/* BindGuarantees: a run of 2 takes a whole worker. */
inline bind_pair() {
  i = 0;
  do
  :: granted[0] && bound[0] == NONE && i < ACCELERATORS ->
    if
    :: BINDABLE(i) && BINDABLE(i + 1) -> bound[0] = i
    :: else
    fi;
    i = i + 2
  :: else -> break
  od
}

/* A run of 1 takes half of a worker whose other half is bound, or otherwise half of an unbound
   worker (buddy allocation), which keeps whole workers free. */
#define BUDDY_BOUND(u) (IN_BOUND_RUN((u) ^ 1))

inline bind_single(g) {
  i = 0;
  best = NONE;
  do
  :: granted[g] && bound[g] == NONE && i < ACCELERATORS ->
    if
    :: BINDABLE(i) && (BUDDY_BOUND(i) || best == NONE) -> best = i
    :: else
    fi;
    i++
  :: else -> break
  od;
  if
  :: best != NONE -> bound[g] = best
  :: else
  fi;
  best = NONE
}

#ifdef MUTATION_UNBOUND_USE_STAYS
#define USE_AFTER_UNBIND(g) GUARANTEED(g)
#else
#define USE_AFTER_UNBIND(g) BORROWED
#endif

inline unbind(g) {
  /* A task that ran within the guarantee continues as a borrowed task. */
  i = 0;
  do
  :: i < ACCELERATORS ->
    if
    :: occupant[i] == GUARANTEED(g) -> occupant[i] = USE_AFTER_UNBIND(g)
    :: else
    fi;
    i++
  :: else -> break
  od;
  bound[g] = NONE
}

inline bind_unbound() {
  bind_pair();
  bind_single(1);
  bind_single(2);
  bind_single(3)
}

/* Binds the largest guarantees first. Existing bindings are kept, unless all guarantees fit only if
   all of them are bound again from the start. */
inline bind_all() {
  bind_unbound();
#ifndef MUTATION_NO_REPACKING
  if
  :: PACKABLE && !ALL_BOUND ->
    unbind(0);
    unbind(1);
    unbind(2);
    unbind(3);
    bind_unbound()
  :: else
  fi;
#endif
  i = 0;
  check_properties()
}

#define BOUND_ON(g, w) (bound[g] != NONE && bound[g] / WORKER_SIZE == (w))

inline unbind_if_on(g, w) {
  if
  :: BOUND_ON(g, w) -> unbind(g)
  :: else
  fi
}

#define LOSE(w)                                                                               \
  :: d_step {                                                                                 \
    up[w] ->                                                                                  \
    up[w] = false;                                                                            \
    occupant[(w) * WORKER_SIZE] = FREE;                                                       \
    occupant[(w) * WORKER_SIZE + 1] = FREE;                                                   \
    unbind_if_on(0, w);                                                                       \
    unbind_if_on(1, w);                                                                       \
    unbind_if_on(2, w);                                                                       \
    unbind_if_on(3, w);                                                                       \
    bind_all();                                                                               \
  }

#define RETURN(w)                                                                             \
  :: d_step { !up[w] -> up[w] = true; bind_all() }

/* An operator removes a guarantee or grants it again. */
#define REMOVE(g)                                                                             \
  :: d_step { granted[g] -> granted[g] = false; unbind(g); bind_all() }
#define GRANT(g)                                                                              \
  :: d_step { !granted[g] -> granted[g] = true; bind_all() }

#define IN_USE(g)                                                                             \
  (occupant[0] == GUARANTEED(g) || occupant[1] == GUARANTEED(g) ||                            \
   occupant[2] == GUARANTEED(g) || occupant[3] == GUARANTEED(g) ||                            \
   occupant[4] == GUARANTEED(g) || occupant[5] == GUARANTEED(g))

/* Placement of a job within its workspace's guarantee preempts borrowed tasks in the bound run. */
#define RECLAIM(g)                                                                            \
  :: d_step {                                                                                 \
    bound[g] != NONE && !IN_USE(g) ->                                                         \
    check_properties();                                                                       \
    occupant[bound[g]] = GUARANTEED(g);                                                       \
    occupant[bound[g] + LENGTH(g) - 1] = GUARANTEED(g);                                       \
    check_properties();                                                                       \
  }

/* With the mutation, a task within the guarantee may take any free accelerator and is never
   preempted. */
#ifdef MUTATION_GUARANTEED_USE_ANYWHERE
#define USE_ANYWHERE(u)                                                                       \
  :: d_step {                                                                                 \
    bound[1] != NONE && !IN_USE(1) && up[(u) / WORKER_SIZE] && occupant[u] == FREE ->         \
    occupant[u] = GUARANTEED(1);                                                              \
    check_properties();                                                                       \
  }
#else
#define USE_ANYWHERE(u)
#endif

#define FINISH_BORROWED(u)                                                                    \
  :: d_step { occupant[u] == BORROWED -> occupant[u] = FREE }
#define FINISH_USE(g)                                                                         \
  :: d_step {                                                                                 \
    bound[g] != NONE && occupant[bound[g]] == GUARANTEED(g) ->                                \
    occupant[bound[g]] = FREE;                                                                \
    occupant[bound[g] + LENGTH(g) - 1] = FREE;                                                \
  }

/* A borrowed task may take any free accelerator, including one in the bound run of another
   workspace. */
#define BORROW(u)                                                                             \
  :: d_step {                                                                                 \
    up[(u) / WORKER_SIZE] && occupant[u] == FREE ->                                           \
    occupant[u] = BORROWED;                                                                   \
    check_reachability();                                                                     \
  }

inline check_reachability() {
#ifdef REACH_BORROWED_RUN
  assert(!(UP_COUNT == 2 && bound[0] != NONE && occupant[bound[0]] == BORROWED && IN_USE(1) &&
           IN_USE(2)));
#endif
  skip
}

#define PER_ACCELERATOR(u) FINISH_BORROWED(u) BORROW(u) USE_ANYWHERE(u)

init {
  d_step {
    up[0] = true;
    up[1] = true;
    up[2] = true;
    granted[0] = true;
    granted[1] = true;
    granted[2] = true;
    granted[3] = true;
    bind_all();
  }
  do
  LOSE(0) LOSE(1) LOSE(2)
  RETURN(0) RETURN(1) RETURN(2)
  REMOVE(0) REMOVE(1) REMOVE(2) REMOVE(3)
  GRANT(0) GRANT(1) GRANT(2) GRANT(3)
  RECLAIM(0) RECLAIM(1) RECLAIM(2) RECLAIM(3)
  FINISH_USE(0) FINISH_USE(1) FINISH_USE(2) FINISH_USE(3)
  PER_ACCELERATOR(0) PER_ACCELERATOR(1) PER_ACCELERATOR(2)
  PER_ACCELERATOR(3) PER_ACCELERATOR(4) PER_ACCELERATOR(5)
  od
}
