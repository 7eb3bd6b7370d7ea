/*
 * Acceptance of change tickets.
 *
 * Three operators submit one ticket each against number 0: tickets 1 and 2 touch the same service,
 * ticket 3 another one. The platform may lose the answer of a swap, drop it, or let it take effect
 * after its submitter has gone on.
 *
 * Broken variants: BLIND_SWAP swaps without comparing; NO_ID does not look for its own id after a
 * lost answer.
 */

#define OPERATORS 3
#define MOST 8
#define TRIES 2

byte head = 0;                 /* latest accepted number */
byte chain[MOST];              /* ticket accepted as each number */
byte times[OPERATORS + 1];     /* how often each ticket was accepted */
bool refused[OPERATORS + 1];   /* whether its operator was told that it was refused */

/* A write on its way: the expected number, and the ticket; 0 for none. */
byte late_expect[OPERATORS + 1];
bool late_there[OPERATORS + 1];

#define touches_same(a, b) ((a) == (b) || ((a) < 3 && (b) < 3))

inline swap(me, expect) {
#ifdef BLIND_SWAP
	if
	:: head < MOST - 1 -> head++; chain[head] = me; times[me]++; done = true
	:: else -> skip
	fi
#else
	if
	:: head == expect && head < MOST - 1 ->
		head++; chain[head] = me; times[me]++; done = true
	:: else -> skip
	fi
#endif
}

proctype operator(byte me) {
	byte tries = 0;
	byte seen;
	byte at;
	bool done;
	bool own;
	bool rival;

again:
	/* Reads the head and the tickets accepted since the base, which never change. */
	atomic {
		seen = head;
		own = false;
		rival = false;
		at = 1;
		do
		:: at <= seen ->
			if
			:: chain[at] == me -> own = true
			:: chain[at] != me && touches_same(chain[at], me) -> rival = true
			:: else -> skip
			fi;
			at++
		:: else -> break
		od
	}
#ifdef NO_ID
	own = false;
#endif
	if
	:: own -> goto end
	:: !own && rival -> refused[me] = true; goto end
	:: !own && !rival -> skip
	fi;
	done = false;
	if
	:: true -> atomic { swap(me, seen) };               /* answered */
		if
		:: done -> goto end
		:: else -> skip
		fi
	:: true -> atomic { swap(me, seen) }                /* took effect, answer lost */
	:: skip                                     /* dropped */
	:: !late_there[me] ->                       /* takes effect later */
		atomic { late_expect[me] = seen; late_there[me] = true }
	fi;
	tries++;
	if
	:: tries < TRIES -> goto again
	:: else -> skip                             /* gives up: told that it is not settled */
	fi;
end:
	skip
}

/* Lets writes that are on their way take effect at any time. */
proctype network() {
	bool done;

end_idle:
	do
	:: late_there[1] -> atomic { swap(1, late_expect[1]); late_there[1] = false }
	:: late_there[2] -> atomic { swap(2, late_expect[2]); late_there[2] = false }
	:: late_there[3] -> atomic { swap(3, late_expect[3]); late_there[3] = false }
	od
}

/* What must hold at any time. */
proctype monitor() {
	atomic {
		assert(times[1] <= 1 && times[2] <= 1 && times[3] <= 1);
		assert(!(refused[1] && times[1] > 0));
		assert(!(refused[2] && times[2] > 0));
		assert(!(refused[3] && times[3] > 0));
		assert(times[1] + times[2] <= 1)
	}
}

init {
	atomic {
		run operator(1);
		run operator(2);
		run operator(3);
		run network();
		run monitor()
	}
}
