/*
 * Claims of one idempotency key, in a log of buckets of which only the last one is written.
 *
 * Two claimants want the same key; a third party's claims fill the buckets. A swap may be answered,
 * lose its answer, be dropped, or take effect late. A claimant may be paused anywhere, and may be
 * replaced by one that knows nothing. A claim expires only after the deadline of its request, and
 * no request starts after its deadline.
 *
 * Broken variants: BLIND_SWAP swaps without comparing versions; NO_ID takes a write without an
 * answer for one without an effect; WRITE_SEALED may go on writing to a bucket that was sealed;
 * SHORT_KEEP lets a claim expire before the deadline of its request.
 */

#define CLAIMANTS 2
#define BUCKETS 4
#define CAPACITY 2
#define TRIES 3

byte version[BUCKETS];
byte count[BUCKETS];
bool sealed[BUCKETS];
byte taken[BUCKETS];           /* claimant whose claim stands in the bucket; 0 for none */
byte taken_too[BUCKETS];       /* a second claim in the same bucket; must stay 0 */
bool late_there[CLAIMANTS + 1];
byte late_bucket[CLAIMANTS + 1];
byte late_version[CLAIMANTS + 1];
bool deadline[CLAIMANTS + 1];  /* whether the deadline of the request has passed */
bool expired[CLAIMANTS + 1];   /* whether the claim has expired */
bool ran[CLAIMANTS + 1];
byte runs = 0;                 /* runs whose claims have not expired */

inline append(b) {
	version[b]++;
	count[b]++;
	if
	:: count[b] >= CAPACITY -> sealed[b] = true
	:: else -> skip
	fi
}

inline swap(me, b, expect) {
#ifdef BLIND_SWAP
	if
	:: true ->
#else
	if
	:: version[b] == expect ->
#endif
		append(b);
		if
		:: taken[b] == 0 || taken[b] == me -> taken[b] = me
		:: else -> taken_too[b] = me
		fi;
		done = true
	:: else -> skip
	fi
}

proctype claimant(byte me) {
	byte b = 0;
	byte tries = 0;
	byte at;
	byte holder;
	bool done;
	bool is_sealed;

read:
	/* Reads the open bucket. */
	atomic {
		at = version[b];
		is_sealed = sealed[b];
		holder = taken[b]
	}
	if
	:: holder == me -> goto granted
	:: holder != 0 && holder != me && !expired[holder] -> goto end
	:: else -> skip
	fi;
	if
	:: is_sealed && b < BUCKETS - 1 -> b++; goto read
	:: is_sealed && b == BUCKETS - 1 -> goto end
#ifdef WRITE_SEALED
	:: skip
#else
	:: !is_sealed -> skip
#endif
	fi;
	/* A pause may fall here. */
	done = false;
	if
	:: true -> atomic { swap(me, b, at) };              /* answered */
		if
		:: done -> goto granted
		:: else -> skip
		fi
	:: true -> atomic { swap(me, b, at) };              /* took effect, answer lost */
#ifdef NO_ID
		goto resubmitted
#endif
	:: skip                                     /* dropped */
	:: !late_there[me] ->                       /* takes effect later */
		atomic {
			late_bucket[me] = b;
			late_version[me] = at;
			late_there[me] = true
		}
	fi;
	tries++;
	if
	:: tries < TRIES -> goto read
	:: else -> goto end                         /* refused: not run */
	fi;
#ifdef NO_ID
resubmitted:
	/* Its caller was told that nothing ran, and its next attempt is taken for its own. */
	runs++;
#endif
granted:
	/* A pause may fall here. */
	atomic {
		if
		:: !deadline[me] -> ran[me] = true; runs++
		:: else -> skip
		fi
	}
end:
	skip
}

/* Other keys that share the log. */
proctype filler() {
	byte b = 0;
	byte times = 0;

	do
	:: times < 2 ->
		atomic {
			if
			:: sealed[b] && b < BUCKETS - 1 -> b++
			:: !sealed[b] -> append(b); times++
			:: sealed[b] && b == BUCKETS - 1 -> break
			fi
		}
	:: times >= 2 -> break
	od
}

proctype network() {
	bool done;

end_idle:
	do
	:: late_there[1] -> atomic { swap(1, late_bucket[1], late_version[1]); late_there[1] = false }
	:: late_there[2] -> atomic { swap(2, late_bucket[2], late_version[2]); late_there[2] = false }
	od
}

/* After its expiry a key may be used for another request. */
inline expire(which) {
	atomic {
		expired[which] = true;
		if
		:: ran[which] -> runs--
		:: else -> skip
		fi
	}
}

proctype clock() {
#ifdef SHORT_KEEP
	expire(1)
#else
	if
	:: true -> deadline[1] = true; expire(1)
	:: true -> deadline[2] = true; expire(2)
	:: skip
	fi
#endif
}

/* What must hold at any time. */
proctype monitor() {
	assert(runs <= 1)
}

init {
	atomic {
		run claimant(1);
		run claimant(2);
		run filler();
		run network();
		run clock();
		run monitor()
	}
}
