/*
 * Expert map switch: three ranks in lock-step, two proposers, and slots that restart without state.
 *
 * Model
 *  - Each rank has an engine, which keeps its state when the slot crashes, and a slot, which loses all its state.
 *  - A message stays readable forever once sent. Reading it late, never, twice or in any order models loss,
 *    duplication and reordering. All messages that a slot sent before a crash may be lost together (see crash).
 *  - A proposer proposes at any time or never, with incarnations that it saw at any earlier time. This covers a
 *    proposer that dies or is paused at any point and resumes with an expired lease. It sends only Cap; the slots
 *    relay everything else themselves, so no later step of the protocol needs the proposer.
 *  - Every transition makes something true that stays true, so each run is finite. A run that ends before all ranks
 *    have run all steps is an invalid end state. If there are none, the group always makes progress.
 *
 * Not modelled: staging of weights (a slot may refuse at any time, which covers missing weights), the loss of an
 * engine, and more than one Recover in flight from one incarnation.
 *
 * Configurations: by default (RIVALS) proposals 0 and 1 both start from map 0. With ROW, proposal 1 starts from the
 * map of proposal 0. With ONE, there is only proposal 0. Map 0 is the first map; the map of proposal p is p+1.
 */
#ifndef CRASHES
#define CRASHES 2
#endif
#define N 3
#ifdef ROW
#define STEPS 3
#else
#define STEPS 2
#endif
#define NONE 9

/* Steps are 0..STEPS-1. Proposal 0 starts at step 1, proposal 1 at step 2 (ROW) or 1 (RIVALS). */
#ifdef ROW
#define START(p) ((p) + 1)
#define FROM(p) (p)
#else
#define START(p) 1
#define FROM(p) 0
#endif

/* Engines. done[i] is the number of steps that rank i has started. */
byte done[N];
byte limit[N] = NONE;	/* the engine runs no step >= limit */
byte have[N];		/* bit p: the engine has switched by proposal p */
byte used[STEPS] = NONE;	/* by step: the map under which the first rank ran it */

/* Slots. */
byte inc[N];
bool rec[N];		/* the slot is recovering */
byte held[N] = NONE;	/* the proposal that the slot has capped */
bool acked[N];		/* the slot has acknowledged held */
bool pend[N];		/* the slot has ordered the switch, but the engine has not confirmed it */
byte refused[N];	/* bit p: the slot has refused or aborted proposal p */
byte known[9];		/* known[i*N+k]: newest incarnation of k that slot i has seen */
byte answered[N];	/* bit k: the recovering slot has k's answer */
byte told[N];		/* bit p: one of those answers reports that p was committed */

/* Messages. */
byte proposed;		/* bit p: proposal p was made */
byte roster[6];		/* roster[p*N+i]: the incarnation of rank i that proposal p names */
byte acks[2];		/* by proposal, bit i: acknowledged by rank i */
byte refusal[2];	/* by proposal, bit i: refused by the incarnation of rank i in the roster */
byte aborted;		/* bit p: a recovered slot has reported p as aborted */
byte crashes;

#define mapof(i)	((have[i] & 2) -> 2 : ((have[i] & 1) -> 1 : 0))
/* An engine remembers its newest map, that map's first step and the map before it. */
#define first(i)	((have[i] & 2) -> START(1) : ((have[i] & 1) -> START(0) : 0))
#define before(i)	((have[i] & 2) -> FROM(1) : 0)
#define mapat(i, t)	(t >= first(i) -> mapof(i) : before(i))
#define bit(p)		(1 << (p))
#define others(i)	(7 & ~bit(i))

inline step(i) {
	d_step {
		done[i] < STEPS && done[i] < limit[i] &&
		done[0] >= done[i] && done[1] >= done[i] && done[2] >= done[i] ->
		if
		:: used[done[i]] == NONE -> used[done[i]] = mapat(i, done[i])
		:: else -> assert(used[done[i]] == mapat(i, done[i]))
		fi;
		printf("EV step %d\n", i);
		done[i]++
	}
}

/* RIVALS: the two proposals are symmetric, so the first one made is number 0. */
#ifdef ROW
#define turn(p) true
#else
#define turn(p) (p == 0 || (proposed & 1))
#endif

/* A proposer may see the ranks' incarnations at different times. */
inline propose(p, a, b, c) {
	d_step {
		!(proposed & bit(p)) && turn(p) && a <= inc[0] && b <= inc[1] && c <= inc[2] ->
		roster[p*N] = a; roster[p*N+1] = b; roster[p*N+2] = c;
		proposed = proposed | bit(p);
		printf("EV propose %d %d %d %d\n", p, a, b, c)
	}
}

#define same(p, i, k) (roster[(p)*N+k] == known[i*N+k])
#ifdef MUTANT_NO_ROSTER
#define named(p, i) true
#define current(p, i) ((i == 0 || same(p, i, 0)) && (i == 1 || same(p, i, 1)) && (i == 2 || same(p, i, 2)))
#else
#define named(p, i) (roster[(p)*N+i] == inc[i])
#ifdef MUTANT_NO_PROMISE
#define current(p, i) true
#else
#define current(p, i) (same(p, i, 0) && same(p, i, 1) && same(p, i, 2))
#endif
#endif
#ifdef MUTANT_TWO_HELD
#define free(i) (!pend[i])
#else
#define free(i) (held[i] == NONE)
#endif
#ifdef MUTANT_NO_FROM
#define rightmap(p, i) true
#else
#define rightmap(p, i) (FROM(p) == mapof(i))
#endif
#ifdef MUTANT_NOT_IN_FORCE
#define inforce(i) true
#else
#define inforce(i) (done[i] >= first(i))
#endif
#ifdef MUTANT_NO_PASSED
#define passed(p, i) false
#else
#define passed(p, i) (done[i] > START(p))
#endif
#ifdef MUTANT_NO_MEMORY
#define remembers(p, i) false
#else
#define remembers(p, i) (refused[i] & bit(p))
#endif

#define mayanswer(p, i) ((proposed & bit(p)) && !rec[i] && named(p, i) && held[i] != p && !(have[i] & bit(p)) && !remembers(p, i))

inline cap(p, i) {
	d_step {
		mayanswer(p, i) && free(i) && current(p, i) && rightmap(p, i) && inforce(i) && !passed(p, i) ->
		held[i] = p;
		acked[i] = false;
#ifndef MUTANT_ACK_FIRST
		limit[i] = START(p);
#endif
		printf("EV cap %d %d\n", i, p)
	}
}

inline ack(i) {
	d_step {
		held[i] != NONE && !acked[i] && !pend[i] ->
		acked[i] = true;
		acks[held[i]] = acks[held[i]] | bit(i);
		printf("EV ack %d %d\n", i, held[i])
	}
}

#ifdef MUTANT_ACK_FIRST
inline latecap(i) {
	d_step {
		held[i] != NONE && acked[i] && limit[i] == NONE && done[i] <= START(held[i]) ->
		limit[i] = START(held[i]);
		printf("EV latecap %d\n", i)
	}
}
#endif

/* For a reason of the protocol, or at any time, as when weights are missing. */
inline refuse(p, i) {
	d_step {
		mayanswer(p, i) && !(refused[i] & bit(p)) ->
		refused[i] = refused[i] | bit(p);
		refusal[p] = refusal[p] | bit(i);
		printf("EV refuse %d %d\n", i, p)
	}
}

#ifdef MUTANT_REFUSE_DONE
/* The slot replies to a late copy of Cap with a refusal although its engine has switched. */
inline refusedone(p, i) {
	d_step {
		(proposed & bit(p)) && !rec[i] && (have[i] & bit(p)) && !(refused[i] & bit(p)) ->
		refused[i] = refused[i] | bit(p);
		refusal[p] = refusal[p] | bit(i);
		printf("EV refusedone %d %d\n", i, p)
	}
}
#endif

#ifdef MUTANT_NO_FREEZE
#define frozen(i) false
#else
#define frozen(i) (!current(held[i], i))
#endif
#ifdef MUTANT_NO_CERTIFICATE
#define certified(p) (acks[p] & (acks[p] - 1))
#else
#define certified(p) (acks[p] == 7)
#endif

inline certificate(i) {
	d_step {
		held[i] != NONE && acked[i] && !pend[i] && certified(held[i]) && !frozen(i) ->
		pend[i] = true;
		printf("EV certificate %d\n", i)
	}
}

/* The engine executes the order to switch. */
inline switched(i) {
	d_step {
		pend[i] ->
		assert(mapof(i) == FROM(held[i]));
		have[i] = have[i] | bit(held[i]);
		limit[i] = NONE;
		held[i] = NONE; acked[i] = false; pend[i] = false;
		printf("EV switched %d\n", i)
	}
}

#ifdef MUTANT_NO_CONFIRM
#define says(k, p) ((have[k] & bit(p)) || (pend[k] && held[k] == p))
#else
#define says(k, p) (have[k] & bit(p))
#endif

/* A peer reports that it has switched, which it does only once its own engine has confirmed it. */
inline committed(i) {
	d_step {
		held[i] != NONE && !pend[i] &&
		(says(0, held[i]) || says(1, held[i]) || says(2, held[i])) ->
		pend[i] = true;
		printf("EV committed %d\n", i)
	}
}

inline abort(i) {
	d_step {
		held[i] != NONE && !pend[i] && (refusal[held[i]] || (aborted & bit(held[i]))) ->
		refused[i] = refused[i] | bit(held[i]);
		printf("EV abort %d %d\n", i, held[i]);
		limit[i] = NONE;
		held[i] = NONE; acked[i] = false
	}
}

inline crash(i) {
	d_step {
		crashes < CRASHES ->
		crashes++;
		inc[i]++;
		rec[i] = true; held[i] = NONE; acked[i] = false; pend[i] = false; refused[i] = 0;
		known[i*N] = 0; known[i*N+1] = 0; known[i*N+2] = 0;
		known[i*N+i] = inc[i];
		answered[i] = 0; told[i] = 0;
		printf("EV crash %d\n", i)
	}
	if
	:: true
	:: d_step {
		(acks[0] | acks[1] | refusal[0] | refusal[1]) & bit(i) ->
		acks[0] = acks[0] & ~bit(i); acks[1] = acks[1] & ~bit(i);
		refusal[0] = refusal[0] & ~bit(i); refusal[1] = refusal[1] & ~bit(i);
		printf("EV lost %d\n", i)
	   }
	fi
}

#ifdef MUTANT_SILENT
#define canspeak(k) (!rec[k])
#else
#define canspeak(k) true
#endif
#ifdef MUTANT_NO_CONFIRM
#define settled(k) true
#define sum(k) (have[k] | told[k] | (pend[k] -> bit(held[k]) : 0))
#else
#define settled(k) (!pend[k])
#define sum(k) (have[k] | told[k])
#endif

/*
 * k answers the recovering slot i and thereby promises to refuse every roster with an older incarnation of i. The
 * answer stays valid if k restarts before i has received all answers: k's next incarnation does not make a switch
 * that k had not made by then, unless another rank has made it and reports so.
 */
inline answer(k, i) {
	d_step {
		rec[i] && !(answered[i] & bit(k)) && canspeak(k) && settled(k) ->
		known[k*N+i] = inc[i];
		answered[i] = answered[i] | bit(k);
		told[i] = told[i] | sum(k);
		known[i*N+k] = inc[k];
		printf("EV answer %d %d\n", k, i)
	}
}

#ifdef MUTANT_NO_PEERS
#define heard(i) (answered[i] != 0)
#else
#define heard(i) (answered[i] == others(i))
#endif

/* From all peers' answers the slot derives the outcome of each proposal that its older incarnations voted on. */
inline recovered(i) {
	d_step {
		rec[i] && heard(i) ->
		rec[i] = false;
		have[i] = have[i] | told[i];
#ifndef MUTANT_NO_LIFT
		limit[i] = NONE;
#endif
		answered[i] = 0; told[i] = 0;
		printf("EV recovered %d\n", i)
	}
}

#ifdef MUTANT_EARLY_ABORT
#define mayabort(i) true
#else
#define mayabort(i) (!rec[i])
#endif

/* A recovered slot aborts for its older incarnations: a switch that no rank had made by then is never made. */
inline resolve(p, i) {
	d_step {
		(proposed & bit(p)) && mayabort(i) && roster[(p)*N+i] < inc[i] && !(have[i] & bit(p)) && !(aborted & bit(p)) ->
		aborted = aborted | bit(p);
		printf("EV resolve %d %d\n", i, p)
	}
}

proctype Rank(byte i) {
end:	do
	:: step(i)
	:: cap(0, i)
	:: cap(1, i)
	:: ack(i)
#ifdef MUTANT_ACK_FIRST
	:: latecap(i)
#endif
	:: refuse(0, i)
	:: refuse(1, i)
#ifdef MUTANT_REFUSE_DONE
	:: refusedone(0, i)
	:: refusedone(1, i)
#endif
	:: certificate(i)
	:: switched(i)
	:: committed(i)
	:: abort(i)
	:: atomic { crash(i) }
	:: answer((i + 1) % N, i)
	:: answer((i + 2) % N, i)
	:: recovered(i)
#ifndef MUTANT_NO_ARBITER
	:: resolve(0, i)
	:: resolve(1, i)
#endif
	od
}

proctype Proposer(byte p) {
	byte a, b, c;
	atomic {
		if :: a = 0 :: inc[0] > 0 -> a = 1 :: inc[0] > 1 -> a = 2 fi;
		if :: b = 0 :: inc[1] > 0 -> b = 1 :: inc[1] > 1 -> b = 2 fi;
		if :: c = 0 :: inc[2] > 0 -> c = 1 :: inc[2] > 1 -> c = 2 fi;
		if
		:: propose(p, a, b, c)
		:: skip
		fi;
		a = 0; b = 0; c = 0
	}
}

/* Crashes end at some time. Otherwise the next crash could release a group that waits forever and hide the fault. */
proctype Calm() {
end:	crashes < CRASHES -> crashes = CRASHES
}

/* Progress: when no transition is possible any more, every rank must have run every step. */
proctype Progress() {
	timeout -> printf("EV stuck\n");
	done[0] == STEPS && done[1] == STEPS && done[2] == STEPS
}

init {
	atomic {
#ifdef ROW
		printf("EV row\n");
#endif
		run Rank(0); run Rank(1); run Rank(2);
		run Proposer(0);
#ifndef ONE
		run Proposer(1);
#endif
		run Calm();
		run Progress()
	}
}
