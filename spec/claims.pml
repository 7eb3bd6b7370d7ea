/*
 * Claims of one idempotency key, in a log of segments of which only the last one is written.
 *
 * Two claimants claim the same key, while claims of other keys fill the segments. A
 * compare-and-swap may be answered, lose its reply, be dropped, or take effect with a delay. A
 * claimant may pause anywhere; that it is replaced by one without state is not modelled. A claim
 * expires only after the deadline of its request, and no request starts after its deadline.
 *
 * Checked: at no time have two requests run whose claims have not expired.
 *
 * Broken variants, which must fail: BLIND_SWAP writes without comparing versions; NO_ID treats a
 * write without a reply as one without an effect; WRITE_SEALED may go on writing to a segment
 * that was sealed; SHORT_KEEP lets a claim expire before the deadline of its request.
 */

#define CLAIMANTS 2
#define SEGMENTS 4
#define SEGMENT_RECORDS 2       /* records at which a segment is sealed */
#define MAX_ATTEMPTS 3          /* writes that a claimant tries */

byte version[SEGMENTS];
byte records[SEGMENTS];         /* number of records */
bool sealed[SEGMENTS];
byte claimant_in[SEGMENTS];     /* claimant whose claim is in the segment; 0 for none */
byte second_claimant[SEGMENTS]; /* second claim in the segment, legal once the first has expired; read nowhere */
/* A delayed write of each claimant, by the number of the claimant from 1. */
bool is_delayed[CLAIMANTS + 1];
byte delayed_segment[CLAIMANTS + 1];
byte delayed_version[CLAIMANTS + 1];
bool deadline_passed[CLAIMANTS + 1];  /* whether the deadline of the request has passed */
bool is_expired[CLAIMANTS + 1];       /* whether the claim has expired */
bool has_run[CLAIMANTS + 1];          /* whether the request has run */
byte runs = 0;                        /* requests that have run and whose claims have not expired */

/* Adds a record to a segment and seals it when it is full. */
inline append(segment) {
	version[segment]++;
	records[segment]++;
	if
	:: records[segment] >= SEGMENT_RECORDS -> sealed[segment] = true
	:: else -> skip
	fi
}

/* Writes a claim by compare-and-swap; sets took_effect if the version was the expected one. */
inline swap(me, segment, expected_version) {
#ifdef BLIND_SWAP
	if
	:: true ->
#else
	if
	:: version[segment] == expected_version ->
#endif
		append(segment);
		if
		:: claimant_in[segment] == 0 || claimant_in[segment] == me -> claimant_in[segment] = me
		:: else -> second_claimant[segment] = me
		fi;
		took_effect = true
	:: else -> skip
	fi
}

proctype claimant(byte me) {
	byte segment = 0;
	byte attempts = 0;
	byte read_version;
	byte holder;
	bool took_effect;
	bool is_sealed;

read:
	/* Reads the open segment. */
	atomic {
		read_version = version[segment];
		is_sealed = sealed[segment];
		holder = claimant_in[segment]
	}
	if
	:: holder == me -> goto granted
	:: holder != 0 && holder != me && !is_expired[holder] -> goto end
	:: else -> skip
	fi;
	if
	:: is_sealed && segment < SEGMENTS - 1 -> segment++; goto read
	:: is_sealed && segment == SEGMENTS - 1 -> goto end
#ifdef WRITE_SEALED
	:: skip
#else
	:: !is_sealed -> skip
#endif
	fi;
	/* The claimant may pause here. */
	took_effect = false;
	if
	:: true -> atomic { swap(me, segment, read_version) };  /* answered */
		if
		:: took_effect -> goto granted
		:: else -> skip
		fi
	:: true -> atomic { swap(me, segment, read_version) };  /* takes effect, reply lost */
#ifdef NO_ID
		goto attempt_again
#endif
	:: skip  /* dropped */
	:: !is_delayed[me] ->  /* takes effect with a delay */
		atomic {
			delayed_segment[me] = segment;
			delayed_version[me] = read_version;
			is_delayed[me] = true
		}
	fi;
	attempts++;
	if
	:: attempts < MAX_ATTEMPTS -> goto read
	:: else -> goto end  /* gives up; the request is not run */
	fi;
#ifdef NO_ID
attempt_again:
	/*
	 * The error: the claimant counts the write whose reply was lost as failed and runs the request
	 * without a claim, then runs it again under the claim, which it takes for its own.
	 */
	runs++;
#endif
granted:
	/* The claimant may pause here. */
	atomic {
		if
		:: !deadline_passed[me] -> has_run[me] = true; runs++
		:: else -> skip
		fi
	}
end:
	skip
}

/* Claims of other keys in the same log. */
proctype other_keys() {
	byte segment = 0;
	byte added = 0;

	do
	:: added < 2 ->
		atomic {
			if
			:: sealed[segment] && segment < SEGMENTS - 1 -> segment++
			:: !sealed[segment] -> append(segment); added++
			:: sealed[segment] && segment == SEGMENTS - 1 -> break
			fi
		}
	:: added >= 2 -> break
	od
}

/* Lets delayed writes take effect at any time. */
proctype network() {
	bool took_effect;

end_idle:
	do
	:: is_delayed[1] -> atomic { swap(1, delayed_segment[1], delayed_version[1]); is_delayed[1] = false }
	:: is_delayed[2] -> atomic { swap(2, delayed_segment[2], delayed_version[2]); is_delayed[2] = false }
	od
}

/* A claim expires; the key may be used for another request after that. */
inline expire(which) {
	atomic {
		is_expired[which] = true;
		if
		:: has_run[which] -> runs--
		:: else -> skip
		fi
	}
}

/* Lets the deadline of at most one request pass, and its claim expire. */
proctype clock() {
#ifdef SHORT_KEEP
	expire(1)
#else
	if
	:: true -> deadline_passed[1] = true; expire(1)
	:: true -> deadline_passed[2] = true; expire(2)
	:: skip
	fi
#endif
}

/* The invariant, checked at any time. */
proctype monitor() {
	assert(runs <= 1)
}

init {
	atomic {
		run claimant(1);
		run claimant(2);
		run other_keys();
		run network();
		run clock();
		run monitor()
	}
}
