/*
 * Claims on one idempotency key. Attempt 0 is the caller's first send, attempts 1 and 2 are resends. Attempt 0 goes to
 * slot 0, attempt 1 to slot 1, attempt 2 to either. One slot may crash and restart at any time. With COPY, a copy of
 * attempt 0 may arrive late. With IN_TURN, the caller sends attempt 2 only after the response to attempt 1. Writes to
 * the table may be delayed, reordered, sent twice, and lost with or without effect.
 *
 * Safety: the request runs at most once, and an attempt that was reported as not run never runs. In the end no row is
 * held by an attempt that will never start, unless its slot has crashed.
 */
#ifndef RESENDS
#define RESENDS 2
#endif
#ifndef LOSSES
#define LOSSES 1
#endif
#define ATTEMPTS 3
#define OPS 9 /* three operations per attempt: the first, one after a conflict of other keys in its batch, one of a copy */
#define NOBODY 9

mtype = { NONE, APPLIED, FENCED, TAKEN, INNOCENT };

/* The table: the attempt that holds the row, and the result of each operation. */
byte holder = NOBODY;
mtype op[OPS] = NONE;

/* Writes in flight, and the table's responses. */
byte inClaim[OPS];
bool inFence[OPS];
bool inRelease[ATTEMPTS];
mtype answer[OPS] = NONE;
mtype fenceAnswer[OPS] = NONE;

/* Slots. memory[a] is 1 + the incarnation that has recorded attempt a as started or refused as not run. */
byte incarnation[2];
byte slotOf[ATTEMPTS];
byte meantFor[ATTEMPTS];
byte memory[ATTEMPTS];
byte losses = LOSSES;

/* History, for the assertions. */
byte runs;
bool ran[ATTEMPTS];
bool notRun[ATTEMPTS];
bool answered[ATTEMPTS];
bool died[ATTEMPTS];

inline remember() { memory[a] = mine + 1 }

inline sayNotRun() {
  assert(!ran[a]);
  notRun[a] = true;
  answered[a] = true;
  remember()
}

/* applyClaim is the table's conditional write. It also fails if another key of the batch is taken. */
inline applyClaim(o) {
  if
  :: op[o] != NONE -> result = op[o]
  :: else ->
    if
#ifdef MUTANT_NO_CHECK
    :: true -> holder = o / 3; op[o] = APPLIED; result = APPLIED
#else
    :: holder == NOBODY -> holder = o / 3; op[o] = APPLIED; result = APPLIED
    :: holder != NOBODY -> result = TAKEN
#endif
#ifndef NO_OTHERS
    :: o == 0 -> result = INNOCENT
#endif
    fi
  fi
}

active proctype Table() {
  byte i;
  mtype result;
end:
  do
  :: atomic {
      if
      :: inClaim[0] > 0 -> i = 0
      :: inClaim[1] > 0 -> i = 1
      :: inClaim[2] > 0 -> i = 2
      :: inClaim[3] > 0 -> i = 3
      :: inClaim[4] > 0 -> i = 4
      :: inClaim[5] > 0 -> i = 5
      :: inClaim[6] > 0 -> i = 6
      :: inClaim[7] > 0 -> i = 7
      :: inClaim[8] > 0 -> i = 8
      fi;
      inClaim[i]--;
      if
      :: losses > 0 -> losses-- /* the request is lost */
      :: applyClaim(i);
        if
        :: answer[i] = result
        :: losses > 0 -> losses-- /* the response is lost */
        fi
      fi;
      i = 0; result = NONE
    }
  :: atomic {
      if
      :: inFence[0] -> i = 0
      :: inFence[1] -> i = 1
      :: inFence[2] -> i = 2
      :: inFence[3] -> i = 3
      :: inFence[4] -> i = 4
      :: inFence[5] -> i = 5
      :: inFence[6] -> i = 6
      :: inFence[7] -> i = 7
      :: inFence[8] -> i = 8
      fi;
      inFence[i] = false;
      if
      :: op[i] == NONE -> op[i] = FENCED
      :: else
      fi;
      fenceAnswer[i] = op[i];
      i = 0
    }
  :: atomic {
      if
      :: inRelease[0] -> i = 0
      :: inRelease[1] -> i = 1
      :: inRelease[2] -> i = 2
      fi;
      inRelease[i] = false;
      if
      :: holder == i -> holder = NOBODY
      :: else
      fi;
      i = 0
    }
  od
}

active proctype Crash() {
  atomic {
    if
#ifndef NO_CRASH
    :: incarnation[0]++
    :: incarnation[1]++
#endif
    :: skip
    fi
  }
}

/* Attempt is a slot's processing of one arrival of an attempt. */
proctype Attempt(byte a; bool copy) {
  byte s = slotOf[a];
  byte mine;
  byte o;
  byte sends = 1;
  bool unknown;
  mtype found = NONE;

  atomic {
    if
    :: copy ->
      answered[a]; /* until then the attempt is in progress, and the slot recognizes a copy */
#ifndef MUTANT_NO_INCARNATION
      if
      :: incarnation[s] != meantFor[a] -> goto done
      :: else
      fi;
#endif
#ifndef MUTANT_NO_MEMORY
      if
      :: memory[a] == incarnation[s] + 1 -> goto done
      :: else
      fi;
#endif
      o = a * 3 + 2;
      mine = incarnation[s];
      printf("EV copy %d on slot %d\n", a, s)
    :: !copy ->
#ifdef IN_TURN
      a != 2 || answered[1];
#endif
      o = a * 3;
      mine = incarnation[s];
      meantFor[a] = mine;
      printf("EV arrive %d on slot %d\n", a, s)
    fi;
    inClaim[o]++
  }

waiting:
  atomic {
    if
    :: incarnation[s] != mine -> goto dead
    :: answer[o] != NONE -> found = answer[o]; answer[o] = NONE; goto decide
    :: answer[o] == NONE && !unknown && inClaim[o] == 1 && op[o] == NONE ->
      inClaim[o]--; /* the table responds that it is unavailable: the write is not applied, now or later */
      printf("EV unavailable %d\n", a);
      sayNotRun();
      goto done
    :: answer[o] == NONE && sends < 2 ->
      unknown = true;
      sends++;
      printf("EV unknown %d\n", a);
#ifdef MUTANT_START_ON_UNKNOWN
      goto start
#endif
#ifdef MUTANT_NEW_OPERATION
      if
      :: o % 3 == 0 -> o++
      :: else
      fi;
#endif
      inClaim[o]++;
      goto waiting
    :: true -> printf("EV expire %d\n", a); sayNotRun(); goto abandoned
    fi
  }

decide:
  atomic {
    if
    :: incarnation[s] != mine -> goto dead
    :: else
    fi;
    if
    :: found == APPLIED -> goto start
    :: else
    fi;
#ifndef MUTANT_NO_FENCE
    if
    :: unknown ->
      inFence[o] = true;
      printf("EV fence %d\n", a);
      goto fencing
    :: else
    fi
#endif
  };
  goto resolve;

fencing:
  atomic {
    if
    :: incarnation[s] != mine -> goto dead
    :: fenceAnswer[o] == APPLIED -> goto start
    :: fenceAnswer[o] == FENCED -> goto resolve
    :: true -> printf("EV expire %d\n", a); sayNotRun(); goto giveUp
    fi
  }

resolve:
  atomic {
    if
    :: incarnation[s] != mine -> goto dead
    :: else
    fi;
    if
    :: found == INNOCENT && o % 3 == 0 ->
      o++;
      found = NONE;
      unknown = false;
      sends = 1;
      inClaim[o]++;
      printf("EV requeue %d\n", a);
      goto waiting
    :: else
    fi;
#ifdef MUTANT_OWN_ROW
    if
    :: holder == a -> goto start
    :: else
    fi;
#endif
#ifdef MUTANT_TAKE_OVER
    if
    :: holder < ATTEMPTS && incarnation[slotOf[holder]] != meantFor[holder] -> holder = a; goto start
    :: else
    fi;
#endif
    printf("EV taken %d\n", a);
    answered[a] = true; /* the response is "running", "outcome unknown" or the outcome, never "not run" */
    goto done
  }

abandoned:
  atomic {
#ifdef MUTANT_NO_FENCE
    goto done;
#endif
    inFence[o] = true
  }

giveUp:
  atomic {
    if
#ifdef MUTANT_START_LATE
    :: answer[o] == APPLIED -> goto start
#endif
    :: incarnation[s] != mine -> goto dead
    :: fenceAnswer[o] == FENCED -> goto done
    :: fenceAnswer[o] == APPLIED -> goto release
    fi
  }

start:
  atomic {
    if
    :: incarnation[s] != mine -> goto dead
    :: else
    fi;
    if
    :: assert(!notRun[a]);
      runs++;
      ran[a] = true;
      answered[a] = true;
#ifndef MUTANT_OWN_ROW
      remember();
#endif
      printf("EV run %d\n", a);
      assert(runs <= 1);
      goto done
    :: !ran[a] -> printf("EV not-started %d\n", a); sayNotRun(); goto release /* the upstream refused the request */
    fi
  }

release:
  atomic {
    inRelease[a] = true;
    goto done
  }

dead:
  atomic {
    died[a] = true;
    answered[a] = true;
    printf("EV died %d\n", a)
  }

done:
  skip
}

init {
  atomic {
    slotOf[1] = 1;
#if RESENDS > 1
    if
    :: slotOf[2] = 0
    :: slotOf[2] = 1
    fi;
    run Attempt(2, false);
#endif
    run Attempt(0, false);
    run Attempt(1, false);
#ifdef COPY
    run Attempt(0, true)
#endif
  }
  /* When no transition is possible any more, the row must be free, or its holder must have run or its slot crashed. */
  timeout -> assert(holder == NOBODY || ran[holder] || died[holder])
}
