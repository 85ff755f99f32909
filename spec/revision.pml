/* Acceptance of a configuration: three nodes of one data centre, the head row of the table, racing operators, and a
 * node that collects acknowledgements. Messages may be lost, late or never sent, so every step is optional. A node may
 * restart without state, be partitioned, or be paused, so that it fails to put a revision in force in time.
 *
 * Time is modelled by a tick, which ends the validity of all earlier information. The validity of a table read starts
 * when the read began, that of a majority's votes when they were requested. A partitioned node is therefore fresh until
 * the next tick. */
#define N 3
#define MAJORITY 2
#ifndef COMMITS
#define COMMITS 1
#endif
#ifndef OPERATORS
#define OPERATORS 1
#endif
#ifndef RESTARTS
#define RESTARTS 0
#endif
#ifndef PAUSES
#define PAUSES 0
#endif

byte committed, accepted;
bool late = true;		/* a tick has passed since `accepted` was raised */
byte staged[N], known[N], inforce[N];
bool table[N];			/* the node has a table read that is valid until the next tick */
bool vouch[N];			/* the node has a certificate that is valid until the next tick */
bool recovered[N];
byte after[N];			/* bits of the nodes that had started when the read behind `table` began */
bool asked;			/* a vote is in progress for a certificate that is valid until the next tick */
byte asker, said, top;		/* the requesting node; bits of the nodes that voted; the newest entry that a voter held */
byte held;			/* bits of the nodes that acknowledged `committed` since the last tick */
byte before;			/* bits of the nodes that had acknowledged before the last tick */
bool young[N];			/* no tick has passed since the node started */
byte restarts, pauses;
byte best[N];			/* newest accepted entry under which the node has served requests */
byte owner[COMMITS + 1];

#define COUNT(b) (((b) & 1) + (((b) >> 1) & 1) + (((b) >> 2) & 1))
#ifndef MUTANT_NO_FORCE
#define FRESH(i) (recovered[i] && (table[i] || (vouch[i] && inforce[i] == staged[i])))
#else
#define FRESH(i) (recovered[i] && (table[i] || vouch[i]))
#endif

#ifndef MUTANT_BORN
#define BORN(i, j) (recovered[i] || (after[j] & (1 << i)))
#else
#define BORN(i, j) true
#endif

/* Puts in force the entry that the node has seen accepted, and its newest entry once it has no valid table read. */
inline advance(i)
{
	if
	:: known[i] > inforce[i] && known[i] <= staged[i] -> inforce[i] = known[i]
	:: else
	fi;
#ifndef MUTANT_NO_FORCE
	if
	:: recovered[i] && !table[i] -> inforce[i] = staged[i]
	:: else
	fi
#endif
}

/* A fresh node serves requests under its entry in force. */
inline serve(i)
{
	if
	:: FRESH(i) ->
		assert(!late || inforce[i] >= accepted);
		assert(inforce[i] >= best[i]);
		if
		:: inforce[i] <= accepted -> best[i] = inforce[i]
		:: else
		fi
	:: else
	fi
}

inline unask()
{
	asked = false; said = 0; top = 0; asker = 0
}

inline hear(i, j)
{
	if
	:: staged[j] > staged[i] -> staged[i] = staged[j]
#ifndef NO_LOSS
	:: true	/* the entries are lost, the rest of the message arrives */
#else
	:: else
#endif
	fi;
	if
	:: known[j] > known[i] -> known[i] = known[j]
	:: else
	fi;
	if
#ifndef MUTANT_RELAY
	:: staged[i] >= staged[j] && table[j] && BORN(i, j) ->
#else
	:: table[j] && BORN(i, j) ->
#endif
		table[i] = true;
		after[i] = after[j];
		recovered[i] = true
	:: else
	fi;
	advance(i); serve(i)
}

inline answer(j)
{
	said = said | (1 << j);
	if
	:: staged[j] > top -> top = staged[j]
	:: else
	fi
}

proctype node(byte i)
{
end:	do
	:: atomic { /* read the table */
		staged[i] < committed || known[i] < accepted || !table[i] ->
		staged[i] = committed; known[i] = accepted;
		table[i] = true; recovered[i] = true; after[i] = 7;
		advance(i); serve(i)
	   }
#ifndef NO_HEAR
	:: atomic { i != 0 && recovered[0] -> hear(i, 0) }
	:: atomic { i != 1 && recovered[1] -> hear(i, 1) }
	:: atomic { i != 2 && recovered[2] -> hear(i, 2) }
#endif
	:: atomic { !asked && !vouch[i] -> asked = true; asker = i }
	:: atomic { asked && recovered[i] && !(said & (1 << i)) -> answer(i) }
	:: atomic { /* a majority has voted, and no voter holds a later entry */
#ifndef MUTANT_LATER
		asked && asker == i && COUNT(said) >= MAJORITY && staged[i] >= top ->
#else
		asked && asker == i && COUNT(said) >= MAJORITY ->
#endif
		if
		:: recovered[i] || !young[i] -> vouch[i] = true; recovered[i] = true
		:: else
		fi;
		unask(); advance(i); serve(i)
	   }
	:: atomic { asked && asker == i -> unask() }
	:: atomic { /* restart; the nodes are symmetric, so node 0 need not restart */
		restarts < RESTARTS && i > 0 ->
		restarts++;
		staged[i] = 0; known[i] = 0; inforce[i] = 0;
		table[i] = false; vouch[i] = false; recovered[i] = false; young[i] = true;
		after[0] = after[0] & ~(1 << i); after[1] = after[1] & ~(1 << i); after[2] = after[2] & ~(1 << i);
		if
		:: asked && asker == i -> unask()
		:: else
		fi
	   }
	od
}

inline raise()
{
#ifdef STRICT
	assert(!FRESH(0) || staged[0] >= committed);
	assert(!FRESH(1) || staged[1] >= committed);
	assert(!FRESH(2) || staged[2] >= committed);
#endif
	accepted = committed; late = false; held = 0; before = 0
}

inline acknowledge(j)
{
	held = held | (1 << j)
}

proctype collector()
{
end:	do
	:: atomic { committed > accepted && staged[0] >= committed && !(held & 1) -> acknowledge(0) }
	:: atomic { committed > accepted && staged[1] >= committed && !(held & 2) -> acknowledge(1) }
	:: atomic { committed > accepted && staged[2] >= committed && !(held & 4) -> acknowledge(2) }
	:: atomic { committed > accepted && COUNT(held) == N -> raise() }
	:: atomic { /* the missing nodes must have stopped serving */
#ifdef MUTANT_NO_WAIT
		committed > accepted && 2 * COUNT(held) >= N ->
#else
#ifdef MUTANT_NO_QUORUM
		committed > accepted && COUNT(held & before) >= 1 ->
#else
		committed > accepted && 2 * COUNT(held & before) >= N ->
#endif
#endif
		raise()
	   }
	od
}

proctype operator(byte me)
{
	byte base;
end:	do
	:: atomic { committed < COMMITS -> base = committed };
	   atomic {
#ifndef MUTANT_BLIND
		if
		:: committed == base ->
#else
		if
		:: true ->
#endif
			assert(owner[base + 1] == 0);
			committed = base + 1; owner[committed] = me;
			held = 0; before = 0
		:: else	/* conflict: another operator was faster */
		fi;
		base = 0
	   }
	od
}

inline expire(i)
{
	table[i] = false; vouch[i] = false;
	if
	:: advance(i)
	:: pauses < PAUSES -> pauses++	/* the node is paused and does not advance */
	fi
}

proctype clock()
{
	byte ticks;
end:	do
	:: atomic {
#ifdef TICKS
		ticks < TICKS -> ticks++;
#endif
		late = true;
		young[0] = false; young[1] = false; young[2] = false;
		before = held; held = 0;
		if
		:: asked -> unask()
		:: else
		fi;
		expire(0); expire(1); expire(2)
	   }
	od
}

init {
	byte n;
	atomic {
		recovered[0] = true; recovered[1] = true; recovered[2] = true;
#ifndef NO_NODES
		run node(0); run node(1); run node(2); run collector(); run clock();
#endif
		n = 1;
		do
		:: n <= OPERATORS -> run operator(n); n++
		:: else -> break
		od
	}
}
