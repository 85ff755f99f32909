/* Acceptance of a configuration: three nodes of one data centre, the head row of the table, two operators that race, and
 * one node that collects acknowledgements. Messages may be lost, late or never sent: every step is optional. A node may
 * restart and forget, be cut off, or be paused, so that it does not put in force what it should.
 *
 * Time is a tick that ends the validity of what nodes know: a node is fresh for STALE ticks after a moment at which a
 * read of the table began, or a majority was asked. */
#define N 3
#define STALE 2
#define FORCE 1
#ifndef COMMITS
#define COMMITS 1
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef PAUSES
#define PAUSES 1
#endif
#define MAJORITY 2

byte committed, accepted;
byte late = STALE;		/* ticks since `accepted` was raised */
byte staged[N], known[N], inforce[N];
byte table[N];			/* ticks that the newest read of the table is still good for */
byte since[N];			/* ticks since it, for putting in force */
byte vouch[N];			/* ticks that the newest certificate is still good for */
bool recovered[N];
byte asked[N];			/* a majority is being asked: ticks that it would be good for; 0 if none is */
byte said[N];			/* bits of the nodes that answered */
byte top[N];			/* newest entry that one of them held */
byte held;			/* bits of the nodes known to hold `committed` */
byte quiet;			/* ticks since the last of them got known */
byte restarts, pauses;
byte best[N];			/* newest accepted entry that a node served on */
byte owner[COMMITS + 1];

#define COUNT(b) (((b) & 1) + (((b) >> 1) & 1) + (((b) >> 2) & 1))

#ifndef MUTANT_STAGED_FRESH
#define FRESH(i) (recovered[i] && (table[i] > 0 || (vouch[i] > 0 && inforce[i] == staged[i])))
#else
#define FRESH(i) (recovered[i] && (table[i] > 0 || vouch[i] > 0))
#endif

inline advance(i)
{
	if
	:: known[i] > inforce[i] && known[i] <= staged[i] -> inforce[i] = known[i]
	:: else
	fi;
#ifndef MUTANT_NO_FORCE
	if
	:: recovered[i] && since[i] > FORCE -> inforce[i] = staged[i]
	:: else
	fi;
#endif
}

/* What callers of a node are served on. */
inline serve(i)
{
	if
	:: FRESH(i) ->
		assert(late < STALE || inforce[i] >= accepted);
		assert(inforce[i] >= best[i]);
		if
		:: inforce[i] <= accepted -> best[i] = inforce[i]
		:: else
		fi
	:: else
	fi
}

inline serveall()
{
	serve(0); serve(1); serve(2)
}

proctype node(byte i)
{
	byte j;
end:	do
	:: atomic { /* read the table */
		staged[i] = committed;
		known[i] = accepted;
		table[i] = STALE;
		since[i] = 0;
		recovered[i] = true;
		advance(i); serveall()
	   }
	:: atomic { /* hear from another node */
		select(j : 0 .. N - 1);
		if
		:: j != i && recovered[j] ->
			if
			:: staged[j] > staged[i] -> staged[i] = staged[j]
			:: true	/* the entries were lost, the rest arrives */
			fi;
			if
			:: known[j] > known[i] -> known[i] = known[j]
			:: else
			fi;
#ifndef MUTANT_RELAY
			if
			:: staged[i] >= staged[j] && table[j] > table[i] ->
#else
			if
			:: table[j] > table[i] ->
#endif
				table[i] = table[j];
				since[i] = since[j];
				recovered[i] = true
			:: else
			fi;
			advance(i)
		:: else
		fi;
		j = 0;
		serveall()
	   }
	:: atomic { /* ask for a majority */
		asked[i] == 0 -> asked[i] = STALE; said[i] = 0; top[i] = 0
	   }
	:: atomic { /* a node answers; one that has forgotten what it held does not */
		asked[i] > 0 ->
		select(j : 0 .. N - 1);
		if
#ifndef MUTANT_AMNESIA
		:: recovered[j] ->
#else
		:: true ->
#endif
			said[i] = said[i] | (1 << j);
			if
			:: staged[j] > top[i] -> top[i] = staged[j]
			:: else
			fi
		:: else
		fi;
		j = 0
	   }
	:: atomic { /* a majority answered, and holds no later entry */
#ifndef MUTANT_LATER
		asked[i] > 0 && COUNT(said[i]) >= MAJORITY && staged[i] >= top[i] ->
#else
		asked[i] > 0 && COUNT(said[i]) >= MAJORITY ->
#endif
		vouch[i] = asked[i];
		recovered[i] = true;
		asked[i] = 0; said[i] = 0; top[i] = 0;
		advance(i); serveall()
	   }
	:: atomic { /* restart */
		restarts < RESTARTS ->
		restarts++;
		staged[i] = 0; known[i] = 0; inforce[i] = 0;
		table[i] = 0; since[i] = FORCE + 1; vouch[i] = 0;
		recovered[i] = false;
		asked[i] = 0; said[i] = 0; top[i] = 0
	   }
	od
}

proctype collector()
{
	byte j;
end:	do
	:: atomic { /* an acknowledgement arrives */
		select(j : 0 .. N - 1);
		if
		:: committed > accepted && staged[j] >= committed && !(held & (1 << j)) ->
			held = held | (1 << j);
			quiet = 0
		:: else
		fi;
		j = 0
	   }
	:: atomic { /* every node holds it */
		committed > accepted && COUNT(held) == N ->
		accepted = committed; late = 0; held = 0; quiet = 0
	   }
	:: atomic { /* the others must have stopped */
#ifdef MUTANT_NO_WAIT
		committed > accepted && 2 * COUNT(held) >= N ->
#else
#ifdef MUTANT_NO_QUORUM
		committed > accepted && COUNT(held) >= 1 && quiet > STALE ->
#else
		committed > accepted && 2 * COUNT(held) >= N && quiet > STALE ->
#endif
#endif
		accepted = committed; late = 0; held = 0; quiet = 0
	   }
	od
}

proctype operator(byte me)
{
	byte base;
end:	do
	:: atomic { committed < COMMITS -> base = committed };
#ifndef MUTANT_BLIND
	   atomic {
		if
		:: committed == base && committed < COMMITS -> committed++; owner[committed] = me; held = 0; quiet = 0
		:: else	/* conflict: another operator was first */
		fi
	   }
#else
	   atomic {
		assert(owner[base + 1] == 0 || owner[base + 1] == me);
		committed = base + 1; owner[committed] = me; held = 0; quiet = 0
	   }
#endif
	od
}

inline count(i)
{
	if
	:: table[i] > 0 -> table[i]--
	:: else
	fi;
	if
	:: vouch[i] > 0 -> vouch[i]--
	:: else
	fi;
	if
	:: asked[i] > 0 ->
		asked[i]--;
		if
		:: asked[i] == 0 -> said[i] = 0; top[i] = 0
		:: else
		fi
	:: else
	fi;
	if
	:: since[i] <= FORCE -> since[i]++
	:: else
	fi;
	if
	:: advance(i)
	:: pauses < PAUSES -> pauses++	/* the node is paused and does nothing */
	fi
}

proctype clock()
{
end:	do
	:: atomic {
		count(0); count(1); count(2);
		if
		:: late < STALE -> late++
		:: else
		fi;
		if
		:: committed > accepted && quiet <= STALE -> quiet++
		:: else
		fi;
		serveall()
	   }
	od
}

init {
	atomic {
		recovered[0] = true; recovered[1] = true; recovered[2] = true;
		run node(0); run node(1); run node(2);
		run collector(); run operator(1); run operator(2); run clock()
	}
}
