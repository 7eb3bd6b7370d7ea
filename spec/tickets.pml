/*
 * Acceptance of change tickets.
 *
 * Three operators submit one ticket each with base 0: tickets 1 and 2 set the same service, ticket 3
 * another one. The platform may lose the reply to a compare-and-swap, drop the write, or let it
 * take effect after its submitter has gone on.
 *
 * Checked: each ticket is accepted at most once, none that was reported as refused is accepted, and
 * of two tickets that set the same service one at most is accepted.
 *
 * Broken variants, which must fail: BLIND_SWAP writes without comparing numbers; NO_ID does not look
 * for the ticket's own id after a lost reply.
 */

#define OPERATORS 3
#define NUMBERS 8                    /* accepted numbers are below this */
#define MAX_ATTEMPTS 2               /* writes that an operator tries */

byte head = 0;                       /* latest accepted number; 0 for none */
byte accepted[NUMBERS];              /* ticket accepted as each number */
byte accept_count[OPERATORS + 1];    /* how often each ticket was accepted */
bool refused[OPERATORS + 1];         /* whether the operator was told that the ticket was refused */

/* A delayed write of each operator: the number that it expects, and whether there is one. */
byte delayed_number[OPERATORS + 1];
bool is_delayed[OPERATORS + 1];

#define sets_same_service(a, b) ((a) == (b) || ((a) < 3 && (b) < 3))

/* Writes the head by compare-and-swap; sets took_effect if the number was the expected one. */
inline swap(me, expected_number) {
#ifdef BLIND_SWAP
	if
	:: head < NUMBERS - 1 -> head++; accepted[head] = me; accept_count[me]++; took_effect = true
	:: else -> skip
	fi
#else
	if
	:: head == expected_number && head < NUMBERS - 1 ->
		head++; accepted[head] = me; accept_count[me]++; took_effect = true
	:: else -> skip
	fi
#endif
}

proctype operator(byte me) {
	byte attempts = 0;
	byte read_number;
	byte number;
	bool took_effect;
	bool is_own;
	bool is_conflict;

again:
	/* Reads the head, and the tickets accepted since the base, which never change. */
	atomic {
		read_number = head;
		is_own = false;
		is_conflict = false;
		number = 1;
		do
		:: number <= read_number ->
			if
			:: accepted[number] == me -> is_own = true
			:: accepted[number] != me && sets_same_service(accepted[number], me) -> is_conflict = true
			:: else -> skip
			fi;
			number++
		:: else -> break
		od
	}
#ifdef NO_ID
	is_own = false;
#endif
	if
	:: is_own -> goto end
	:: !is_own && is_conflict -> refused[me] = true; goto end
	:: !is_own && !is_conflict -> skip
	fi;
	took_effect = false;
	if
	:: true -> atomic { swap(me, read_number) };  /* answered */
		if
		:: took_effect -> goto end
		:: else -> skip
		fi
	:: true -> atomic { swap(me, read_number) }  /* takes effect, reply lost */
	:: skip  /* dropped */
	:: !is_delayed[me] ->  /* takes effect with a delay */
		atomic { delayed_number[me] = read_number; is_delayed[me] = true }
	fi;
	attempts++;
	if
	:: attempts < MAX_ATTEMPTS -> goto again
	:: else -> skip  /* gives up; the outcome is reported as unknown */
	fi;
end:
	skip
}

/* Lets delayed writes take effect at any time. */
proctype network() {
	bool took_effect;

end_idle:
	do
	:: is_delayed[1] -> atomic { swap(1, delayed_number[1]); is_delayed[1] = false }
	:: is_delayed[2] -> atomic { swap(2, delayed_number[2]); is_delayed[2] = false }
	:: is_delayed[3] -> atomic { swap(3, delayed_number[3]); is_delayed[3] = false }
	od
}

/* The invariants, checked at any time. */
proctype monitor() {
	atomic {
		assert(accept_count[1] <= 1 && accept_count[2] <= 1 && accept_count[3] <= 1);
		assert(!(refused[1] && accept_count[1] > 0));
		assert(!(refused[2] && accept_count[2] > 0));
		assert(!(refused[3] && accept_count[3] > 0));
		assert(accept_count[1] + accept_count[2] <= 1)
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
