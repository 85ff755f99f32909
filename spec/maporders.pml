/* A switch of a group's expert map by the engines' own orders, and undoing a switch that its leader left unfinished.

   Ranks begin passes in lock-step: a pass begins unless one of them holds it. Leader 1 prepares version 1, holds a pass,
   arms all ranks for it and releases it; it may die at any moment. Leader 2 undoes a held switch, even while leader 1 is
   alive. A reply may be lost, and an order may be executed late, at any time after its leader has stopped waiting for
   the reply, or never. */

#define RANKS 2
#define LAST_FALLBACK 5
#ifndef PASSES
#define PASSES 2
#endif
#ifndef LATES
#define LATES 1
#endif
#ifndef LOSSES
#define LOSSES 1
#endif

mtype = { PREPARE, ARM, DISARM, HOLD, RELEASE };

byte pass;               /* the last pass that has begun */
byte inUse[RANKS];       /* version of the map in use */
byte prepared[RANKS];
byte newest[RANKS];      /* the highest version that the rank has ever prepared */
byte armedV[RANKS];      /* 0: not armed */
byte armedS[RANKS];
byte heldS[RANKS];       /* 0: nothing held */

chan late = [LATES] of { mtype, byte, byte, byte }; /* op, rank, version, pass: orders to be executed at any later time */
byte lates, losses;

#define BUSY(r) (heldS[r] > pass)

/* carryOut executes an order at a rank; ok is set unless the rank refuses it. */
inline carryOut(op, r, v, s, ok) {
  ok = 0;
  if
  :: op == PREPARE ->
     if
     :: prepared[r] == v -> ok = 1
     :: prepared[r] != v && v > newest[r] && armedV[r] == 0 -> prepared[r] = v; newest[r] = v; ok = 1
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
  :: atomic { lates < LATES && nfull(late) -> lates++; late!op, r, v, s } /* executed later: send again */
  od
}

active proctype lateOrders() {
  mtype op; byte r, v, s; bool ok;
end:
  do
  :: atomic { late?op, r, v, s -> carryOut(op, r, v, s, ok) }
  od
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
       assert(inUse[0] == inUse[1])
     }
  od
}

/* clear undoes version v on all ranks; fallback is a newer version for the current map. done is set unless a rank is
   armed for another version. */
inline clear(v, fallback, done) {
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

#define MAY_END if :: goto ended :: skip fi

active proctype leader1() {
  byte r, s, tries; bool ok, all, done;
  r = 0;
  do
  :: r < RANKS -> give(PREPARE, r, 1, 0, ok); if :: ok == 0 -> goto ended :: else fi; r++
  :: else -> break
  od;
  r = 0;
  MAY_END;
  s = pass + 1;
#ifndef MUTANT_NO_HOLD
hold:
  give(HOLD, 0, 0, s, ok);
  if
  :: ok == 0 && tries < 1 -> tries++; s = pass + 1; goto hold
  :: ok == 0 && tries == 1 -> goto undo
  :: else
  fi;
#endif
  MAY_END;
  all = 1;
  do
#ifdef MUTANT_RELEASE_EARLY
  :: r < 1 ->
#else
  :: r < RANKS ->
#endif
     give(ARM, r, 1, s, ok);
     if
     :: ok == 0 -> all = 0; break
     :: else
     fi;
     MAY_END;
     r++
  :: else -> break
  od;
  r = 0;
  if
  :: all -> skip
  :: !all -> goto undo
  fi;
  give(RELEASE, 0, 0, s, ok);
  goto ended;
undo:
  clear(1, 2, done);
  MAY_END;
  if
  :: done -> give(RELEASE, 0, 0, s, ok)
  :: else
  fi;
ended:
  skip
}

#ifndef MUTANT_NO_RESCUE
active proctype leader2() {
  byte r, s, v, guard, fallback; bool ok, done, pending;
  fallback = 4;
  do
  :: pass == PASSES -> break
  :: atomic {
       pass < PASSES && (BUSY(0) || BUSY(1)) ->
       /* From the reports: the earliest held pass, and the version that ranks may be armed for at it. */
       if
       :: BUSY(0) && (!BUSY(1) || heldS[0] <= heldS[1]) -> s = heldS[0]; guard = 1
       :: else -> s = heldS[1]; guard = 0
       fi;
       pending = 0;
       v = 0;
       r = 0;
       do
       :: r < RANKS ->
          v = (prepared[r] > v -> prepared[r] : v);
          pending = pending || (armedV[r] != 0 && armedS[r] != s);
          r++
       :: else -> break
       od;
       r = 0;
       do
       :: r < RANKS -> v = (armedV[r] != 0 && armedS[r] == s -> armedV[r] : v); r++
       :: else -> break
       od;
       r = 0
     };
     if
     :: pending
     :: else ->
#ifndef MUTANT_NO_GUARD
        give(HOLD, guard, 0, s, ok);
#else
        ok = 1;
#endif
        if
        :: ok ->
           clear(v, fallback, done);
           if
           :: done -> give(RELEASE, 0, 0, s, ok); give(RELEASE, 1, 0, s, ok)
           :: else
           fi;
           /* Each task uses a version of its own. */
           if
           :: fallback < LAST_FALLBACK -> fallback++
           :: else
           fi
        :: else
        fi
     fi
  od
}
#endif
