/* Switches of a group's expert map by the engines' own orders, and undoing a switch that was left unfinished.

   Ranks begin passes in lock-step: a pass begins unless one of them holds it, and an idle group begins none for any
   time. A leader prepares a version, holds a pass, arms all ranks for it and releases it. It undoes a switch whose hold
   it finds. It may die at any moment, and the second leader may act while the first one still does. A reply may be
   lost, and an order may be executed late, at any time after its leader has stopped waiting for the reply, or never.

   Each switch names a pass of its own: a leader names no pass twice, and none up to REACH passes after the one that had
   begun when all ranks had prepared its first map. No leader names one more than REACH passes ahead. */

#define RANKS 2
#define LEAD 1 /* how many passes ahead a later switch takes effect */
#ifndef REACH
#define REACH 1
#endif
#ifndef PASSES
#define PASSES 4
#endif
#ifndef LATES
#define LATES 1
#endif
#ifndef LOSSES
#define LOSSES 1
#endif
#ifndef SWITCHES1
#define SWITCHES1 1
#endif
#ifndef SWITCHES2
#define SWITCHES2 0
#endif
#ifndef MORTAL
#define MORTAL true /* the first leader may die */
#endif
#ifndef UNDOS
#define UNDOS 2 /* versions of the current map that a leader has for undoing switches */
#endif

mtype = { PREPARE, ARM, DISARM, HOLD, RELEASE };

byte pass;               /* the last pass that has begun */
byte inUse[RANKS];       /* version of the map in use */
byte prepared[RANKS];    /* also the highest version that the rank has ever prepared */
byte armedV[RANKS];      /* 0: not armed */
byte armedS[RANKS];
byte heldS[RANKS];       /* 0: nothing held */

/* Orders to be executed at any later time. */
mtype lateOp[LATES]; byte lateR[LATES], lateV[LATES], lateS[LATES];
byte lates, losses;

#define BUSY(r) (heldS[r] > pass)

/* carryOut executes an order at a rank; ok is set unless the rank refuses it. */
inline carryOut(op, r, v, s, ok) {
  ok = 0;
  if
  :: op == PREPARE ->
     if
     :: prepared[r] == v -> ok = 1
     :: v > prepared[r] && armedV[r] == 0 -> prepared[r] = v; ok = 1
     :: else
     fi
  :: op == ARM ->
     if
     :: armedV[r] == v && armedS[r] == s -> ok = 1
     :: armedV[r] == 0 && prepared[r] == v && s > pass -> armedV[r] = v; armedS[r] = s; ok = 1
     :: else
     fi
  :: op == DISARM ->
     if
     :: armedV[r] == v -> armedV[r] = 0; armedS[r] = 0; ok = 1
     :: else
     fi
  :: op == HOLD ->
     if
     :: heldS[r] == s && s > pass -> ok = 1
     :: s > pass && !BUSY(r) -> heldS[r] = s; ok = 1
     :: else
     fi
  :: op == RELEASE ->
     if
     :: heldS[r] == s -> heldS[r] = 0; ok = 1
     :: else
     fi
  fi
}

/* give sends an order until the leader gets a reply. */
inline give(op, r, v, s, ok) {
  do
  :: atomic { carryOut(op, r, v, s, ok) }; break
  :: atomic { losses < LOSSES -> losses++; carryOut(op, r, v, s, ok) } /* the reply is lost: send again */
  :: atomic {
       lates < LATES ->
       lateOp[lates] = op; lateR[lates] = r; lateV[lates] = v; lateS[lates] = s;
       lates++ /* executed later: send again */
     }
  od
}

/* Late orders are executed in any order. */
active [LATES] proctype lateOrder() {
  bool ok;
end:
  atomic {
    lateOp[_pid] != 0 ->
    carryOut(lateOp[_pid], lateR[_pid], lateV[_pid], lateS[_pid], ok);
    lateOp[_pid] = 0; lateR[_pid] = 0; lateV[_pid] = 0; lateS[_pid] = 0; ok = 0
  }
}

#define HELD (heldS[0] == pass + 1 || heldS[1] == pass + 1)

active proctype group() {
  do
  :: pass == PASSES -> break
  :: atomic {
       pass < PASSES && !HELD ->
       pass++;
       if
       :: armedS[0] == pass -> inUse[0] = armedV[0]; armedV[0] = 0; armedS[0] = 0
       :: else
       fi;
       if
       :: armedS[1] == pass -> inUse[1] = armedV[1]; armedV[1] = 0; armedS[1] = 0
       :: else
       fi;
       /* Ranks forget orders for passes that have begun, so that equal states are found equal. */
       if :: heldS[0] <= pass -> heldS[0] = 0 :: else fi;
       if :: heldS[1] <= pass -> heldS[1] = 0 :: else fi;
       assert(inUse[0] == inUse[1])
     }
  od
}

#define MAY_DIE if :: mortal -> goto dead :: skip fi

#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* clearOwn undoes version v, which only this leader has ranks armed for, at the pass that it holds. done is set unless
   a rank refuses the newer version. */
inline clearOwn(v, fallback) {
  done = 1;
  r = 0;
  do
  :: r < RANKS ->
     give(DISARM, r, v, 0, ok);
#ifndef MUTANT_NO_NEWER
     give(PREPARE, r, fallback, 0, ok);
     if
     :: ok == 0 -> done = 0
     :: else
     fi;
#endif
     r++
  :: else -> break
  od;
  r = 0
}

/* clearFound undoes the switch that holds pass s. A rank that refuses the newer version is armed: only if that is for
   the held pass is it disarmed. */
inline clearFound(fallback) {
  done = 1;
  r = 0;
  tries = 0;
  do
  :: r < RANKS && done ->
#ifndef MUTANT_NO_NEWER
     give(PREPARE, r, fallback, 0, ok);
#else
     ok = (armedS[r] != s);
#endif
     if
     :: ok -> r++; tries = 0
     :: !ok ->
        atomic {
          v = armedV[r];
#ifdef MUTANT_DISARM_ANY
          if :: v == 0 || tries == 2 -> done = 0 :: else fi
#else
          if :: v == 0 || armedS[r] != s || tries == 2 -> done = 0 :: else fi
#endif
        };
        if
        :: done -> tries++; give(DISARM, r, v, 0, ok)
        :: else
        fi
     fi
  :: else -> break
  od;
  r = 0;
  tries = 0
}

/* A leader. Its versions begin after base; those of the second leader are higher. */
proctype leader(byte base, switches; bool mortal) {
  byte r, s, v, fallback, tries, seen, guard, undos;
  byte last;    /* the last pass that the leader has named, 0 if none */
  byte claimed; /* 1 + the pass that had begun when all ranks had its first map */
  byte next = base + 1;
  bool ok, done, h0, h1, later, earlier;
again:
  do
  :: pass == PASSES -> goto dead
  :: switches > 0 && pass < PASSES -> switches--; goto begin
  :: atomic {
       pass < PASSES && (BUSY(0) || BUSY(1)) ->
       /* From the reports: the earliest held pass, and what ranks are armed for or hold besides. */
       if
       :: BUSY(0) && (!BUSY(1) || heldS[0] <= heldS[1]) -> s = heldS[0]
       :: else -> s = heldS[1]
       fi;
       h0 = (heldS[0] == s);
       h1 = (heldS[1] == s);
       later = (heldS[0] > s || heldS[1] > s || armedS[0] > s || armedS[1] > s);
       earlier = (armedV[0] != 0 && armedS[0] < s) || (armedV[1] != 0 && armedS[1] < s);
       goto undo
     }
  od;

begin:
  v = next; fallback = next + 1; next = next + 2;
  do
  :: r < RANKS -> give(PREPARE, r, v, 0, ok); if :: ok == 0 -> goto ended :: else fi; r++
  :: else -> break
  od;
  r = 0;
  MAY_DIE;
  /* From the reports: all ranks have prepared the map. */
  atomic {
    if
    :: prepared[0] == v && prepared[1] == v -> seen = pass
    :: else -> goto ended
    fi
  };
#ifdef MUTANT_SAME_PASS
  s = seen + LEAD;
#else
#ifdef MUTANT_NO_DISTANCE
  s = MAX(seen + LEAD, last + 1);
#else
  if
  :: claimed == 0 ->
     claimed = seen + 1;
     /* The leader only has its map loaded, or another pass begins, or the group stays idle and the switch is given up. */
     atomic {
       if
       :: pass > seen && prepared[0] == v && prepared[1] == v -> seen = pass
       :: goto ended
       fi
     }
  :: else
  fi;
  s = MAX(MAX(seen + LEAD, last + 1), claimed + REACH);
  if
  :: s > seen + REACH -> goto ended
  :: else
  fi;
#endif
#endif
  last = s;
#ifndef MUTANT_NO_HOLD
  /* Either rank may be the one that holds the group. */
  if
#ifndef FIRST_HOLDER
  :: guard = 0
  :: guard = 1
#else
  :: mortal -> guard = FIRST_HOLDER
  :: !mortal -> guard = 0
  :: !mortal -> guard = 1
#endif
  fi;
  give(HOLD, guard, 0, s, ok);
  if
  :: ok == 0 -> goto ended
  :: else
  fi;
#endif
  MAY_DIE;
  done = 1;
  do
#ifdef MUTANT_RELEASE_EARLY
  :: r < 1 && done ->
#else
  :: r < RANKS && done ->
#endif
     give(ARM, r, v, s, ok);
     if
     :: ok == 0 -> done = 0
     :: else -> r++
     fi;
     MAY_DIE
  :: else -> break
  od;
  r = 0;
  if
  :: done -> skip
  :: else ->
     clearOwn(v, fallback);
     MAY_DIE
  fi;
  if
  :: done -> give(RELEASE, guard, 0, s, ok)
  :: else
  fi;
  goto ended;

undo:
  if
  :: later -> goto release
  :: earlier -> goto ended
  :: else
  fi;
  guard = (h0 -> 1 : 0);
#ifndef MUTANT_NO_GUARD
  give(HOLD, guard, 0, s, ok);
#else
  ok = 1;
#endif
  if
  :: ok == 0 -> goto ended
  :: else
  fi;
  fallback = next;
  if
  :: undos < UNDOS -> undos++; next++
  :: else
  fi;
  clearFound(fallback);
  MAY_DIE;
  if
  :: done == 0 -> goto ended
  :: else
  fi;
  h0 = 1;
  h1 = 1;
release:
  if
  :: h0 -> give(RELEASE, 0, 0, s, ok)
  :: else
  fi;
  if
  :: h1 -> give(RELEASE, 1, 0, s, ok)
  :: else
  fi;
ended:
  r = 0; s = 0; v = 0; fallback = 0; tries = 0; seen = 0; guard = 0;
  h0 = 0; h1 = 0; later = 0; earlier = 0; done = 0; ok = 0;
  goto again;
dead:
  skip
}

init {
  atomic {
#ifdef ONE_LEADER
    run leader(0, SWITCHES1, false)
#else
    run leader(0, SWITCHES1, MORTAL);
#ifndef MUTANT_NO_RESCUE
    run leader(20, SWITCHES2, false)
#endif
#endif
  }
}
