/*
 * Bound guarantees, borrowers, reclaim, loss of workers and rebinding (docs/design.md, section 7,
 * "Guarantees and placement"). Bounds, the mapping to the code and the state counts are in
 * spec/README.md.
 */
#define WORKERS 3
#define SLOTS 2 /* accelerators of a worker */
#define UNITS 6
#define GUARANTEES 4
/* Guarantee 0 is a run of 2; guarantees 1 to 3 are runs of 1. */
#define LENGTH(g) ((g) == 0 -> 2 : 1)
#define NONE 255

/* What runs on an accelerator: nothing, guaranteed use of guarantee g (1 + g), or a borrower. */
#define FREE 0
#define USE(g) (1 + (g))
#define BORROWER 9

bool up[WORKERS];
bool wanted[GUARANTEES];
byte bound[GUARANTEES] = NONE; /* first accelerator of the run */
byte task[UNITS];

byte i;
byte best;

#define IN_RUN(g, u) (bound[g] != NONE && (u) >= bound[g] && (u) < bound[g] + LENGTH(g))
#define TAKEN(u) (IN_RUN(0, u) || IN_RUN(1, u) || IN_RUN(2, u) || IN_RUN(3, u))
#define UP_COUNT (up[0] + up[1] + up[2])

/* A bound run holds only its own guaranteed use and borrowers, so evicting borrowers frees it. */
#define UNIT_RECLAIMABLE(g, u)                                                                \
  (!IN_RUN(g, u) || task[u] == FREE || task[u] == BORROWER || task[u] == USE(g))
#define RECLAIMABLE(g)                                                                        \
  (UNIT_RECLAIMABLE(g, 0) && UNIT_RECLAIMABLE(g, 1) && UNIT_RECLAIMABLE(g, 2) &&              \
   UNIT_RECLAIMABLE(g, 3) && UNIT_RECLAIMABLE(g, 4) && UNIT_RECLAIMABLE(g, 5))

#define WORKERS_NEEDED (wanted[0] + (wanted[1] + wanted[2] + wanted[3] + 1) / SLOTS)
#define PACKABLE (UP_COUNT >= WORKERS_NEEDED)
#define IS_BOUND(g) (!wanted[g] || bound[g] != NONE)
#define ALL_BOUND (IS_BOUND(0) && IS_BOUND(1) && IS_BOUND(2) && IS_BOUND(3))

inline check() {
  assert(RECLAIMABLE(0) && RECLAIMABLE(1) && RECLAIMABLE(2) && RECLAIMABLE(3));
  /* All guarantees are bound while the workers have room for all of them together. */
  assert(!PACKABLE || ALL_BOUND)
}

#ifdef MUTATION_BIND_OVERLAP
#define BINDABLE(u) (up[(u) / SLOTS])
#else
#define BINDABLE(u) (up[(u) / SLOTS] && !TAKEN(u))
#endif

/* BindGuarantees: a run of 2 takes a whole worker. */
inline bind_pair() {
  i = 0;
  do
  :: wanted[0] && bound[0] == NONE && i < UNITS ->
    if
    :: BINDABLE(i) && BINDABLE(i + 1) -> bound[0] = i
    :: else
    fi;
    i = i + 2
  :: else -> break
  od
}

/* A run of 1 takes the half of a worker whose other half is bound, or else half of a free worker
   (buddy allocation), which keeps whole workers free. */
#define BUDDY_TAKEN(u) (TAKEN((u) ^ 1))

inline bind_single(g) {
  i = 0;
  best = NONE;
  do
  :: wanted[g] && bound[g] == NONE && i < UNITS ->
    if
    :: BINDABLE(i) && (BUDDY_TAKEN(i) || best == NONE) -> best = i
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
#define BORROWER_AFTER_UNBIND(g) USE(g)
#else
#define BORROWER_AFTER_UNBIND(g) BORROWER
#endif

inline unbind(g) {
  /* What ran as guaranteed use runs on as a borrower. */
  i = 0;
  do
  :: i < UNITS ->
    if
    :: task[i] == USE(g) -> task[i] = BORROWER_AFTER_UNBIND(g)
    :: else
    fi;
    i++
  :: else -> break
  od;
  bound[g] = NONE
}

inline bind_each() {
  bind_pair();
  bind_single(1);
  bind_single(2);
  bind_single(3)
}

/* Largest guarantees first. Runs that still stand are kept, unless all guarantees fit only when
   they are packed anew. */
inline bind_all() {
  bind_each();
#ifndef MUTATION_NO_REPACKING
  if
  :: PACKABLE && !ALL_BOUND ->
    unbind(0);
    unbind(1);
    unbind(2);
    unbind(3);
    bind_each()
  :: else
  fi;
#endif
  i = 0;
  check()
}

#define LOST_WITH(g, w) (bound[g] != NONE && bound[g] / SLOTS == (w))

inline unbind_if_lost(g, w) {
  if
  :: LOST_WITH(g, w) -> unbind(g)
  :: else
  fi
}

#define LOSE(w)                                                                               \
  :: d_step {                                                                                 \
    up[w] ->                                                                                  \
    up[w] = false;                                                                            \
    task[(w) * SLOTS] = FREE;                                                                 \
    task[(w) * SLOTS + 1] = FREE;                                                             \
    unbind_if_lost(0, w);                                                                     \
    unbind_if_lost(1, w);                                                                     \
    unbind_if_lost(2, w);                                                                     \
    unbind_if_lost(3, w);                                                                     \
    bind_all();                                                                               \
  }

#define RETURN(w)                                                                             \
  :: d_step { !up[w] -> up[w] = true; bind_all() }

/* Operators remove a guarantee and grant it again. */
#define REMOVE(g)                                                                             \
  :: d_step { wanted[g] -> wanted[g] = false; unbind(g); bind_all() }
#define GRANT(g)                                                                              \
  :: d_step { !wanted[g] -> wanted[g] = true; bind_all() }

#define IN_USE(g)                                                                             \
  (task[0] == USE(g) || task[1] == USE(g) || task[2] == USE(g) || task[3] == USE(g) ||        \
   task[4] == USE(g) || task[5] == USE(g))

/* Placement of a job within its workspace's guarantee: borrowers in the bound run are evicted. */
#define RECLAIM(g)                                                                            \
  :: d_step {                                                                                 \
    bound[g] != NONE && !IN_USE(g) ->                                                         \
    check();                                                                                  \
    task[bound[g]] = USE(g);                                                                  \
    task[bound[g] + LENGTH(g) - 1] = USE(g);                                                  \
    check();                                                                                  \
  }

/* With the mutation, use within the guarantee may take any free accelerator and is not evicted. */
#ifdef MUTATION_GUARANTEED_USE_ANYWHERE
#define USE_ANYWHERE(u)                                                                       \
  :: d_step {                                                                                 \
    bound[1] != NONE && !IN_USE(1) && up[(u) / SLOTS] && task[u] == FREE ->                   \
    task[u] = USE(1);                                                                         \
    check();                                                                                  \
  }
#else
#define USE_ANYWHERE(u)
#endif

#define FINISH(u)                                                                             \
  :: d_step { task[u] == BORROWER -> task[u] = FREE }
#define FINISH_USE(g)                                                                         \
  :: d_step {                                                                                 \
    bound[g] != NONE && task[bound[g]] == USE(g) ->                                           \
    task[bound[g]] = FREE;                                                                    \
    task[bound[g] + LENGTH(g) - 1] = FREE;                                                    \
  }

/* A borrower may take any free accelerator, also one in the bound run of another workspace. */
#define BORROW(u)                                                                             \
  :: d_step { up[(u) / SLOTS] && task[u] == FREE -> task[u] = BORROWER; reach_all_borrowed() }

inline reach_all_borrowed() {
#ifdef REACH_BORROWED_RUN
  assert(!(UP_COUNT == 2 && bound[0] != NONE && task[bound[0]] == BORROWER && IN_USE(1) &&
           IN_USE(2)));
#endif
  skip
}

#define PER_UNIT(u) FINISH(u) BORROW(u) USE_ANYWHERE(u)

init {
  d_step {
    up[0] = true;
    up[1] = true;
    up[2] = true;
    wanted[0] = true;
    wanted[1] = true;
    wanted[2] = true;
    wanted[3] = true;
    bind_all();
  }
  do
  LOSE(0) LOSE(1) LOSE(2)
  RETURN(0) RETURN(1) RETURN(2)
  REMOVE(0) REMOVE(1) REMOVE(2) REMOVE(3)
  GRANT(0) GRANT(1) GRANT(2) GRANT(3)
  RECLAIM(0) RECLAIM(1) RECLAIM(2) RECLAIM(3)
  FINISH_USE(0) FINISH_USE(1) FINISH_USE(2) FINISH_USE(3)
  PER_UNIT(0) PER_UNIT(1) PER_UNIT(2) PER_UNIT(3) PER_UNIT(4) PER_UNIT(5)
  od
}
