/*
 * Spread of change tickets to the entries.
 *
 * Tickets are accepted one after another. Three entries read the number from the platform while it
 * answers, or from each other; each may be paused between reading and applying, and one may be
 * replaced by a new host that knows nothing.
 *
 * Broken variants: BLIND_APPLY applies what was read without comparing numbers; SERVE_EMPTY lets a
 * new host serve before it has read any number.
 */

#define ENTRIES 3
#define MOST 3
#define ROUNDS 2

byte head = 1;
byte force[ENTRIES];           /* number in force at each entry */
bool serving[ENTRIES];
bool down;                     /* whether the platform answers nobody */

proctype operator() {
	do
	:: head < MOST && !down -> head++
	:: head >= MOST -> break
	od
}

proctype outage() {
	down = true;
	down = false
}

proctype entry(byte me) {
	byte read;
	byte rounds = 0;

	do
	:: rounds < ROUNDS ->
		rounds++;
		read = 0;
		if
		:: atomic { !down -> read = head }
		:: read = force[(me + 1) % ENTRIES]
		:: read = force[(me + 2) % ENTRIES]
		:: me == 0 && rounds == 2 ->            /* replaced by a new host */
			atomic { force[me] = 0; serving[me] = false }
		fi;
		/* A pause may fall here. */
		atomic {
#ifdef BLIND_APPLY
			assert(read >= force[me]);
			force[me] = read;
#else
			if
			:: read > force[me] -> force[me] = read
			:: else -> skip
			fi;
#endif
#ifdef SERVE_EMPTY
			serving[me] = true
#else
			serving[me] = (force[me] > 0)
#endif
		}
	:: rounds >= ROUNDS -> break
	od
}

/* What must hold at any time. */
proctype monitor() {
	atomic {
		assert(force[0] <= head && force[1] <= head && force[2] <= head);
		assert(!serving[0] || force[0] > 0);
		assert(!serving[1] || force[1] > 0);
		assert(!serving[2] || force[2] > 0)
	}
}

init {
	atomic {
		run operator();
		run outage();
		run entry(0);
		run entry(1);
		run entry(2);
		run monitor()
	}
}
