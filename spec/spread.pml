/*
 * Distribution of change tickets to the entries.
 *
 * Tickets are accepted one after another. Three entries read the latest number from the platform
 * while it answers, or from each other. Each may pause between reading and applying, and one may be
 * replaced by a new host that has no state.
 *
 * Checked: no entry has a number in force that was not accepted, and none serves without one. The
 * monitor does not check that an entry never goes back to an earlier number; the broken variant
 * BLIND_APPLY asserts that itself.
 *
 * Broken variants, which must fail: BLIND_APPLY applies what was read without comparing numbers;
 * SERVE_EMPTY lets a new host serve before it has read any number.
 */

#define ENTRIES 3
#define MAX_NUMBER 3           /* latest number that is accepted */
#define MAX_ROUNDS 2           /* numbers that an entry reads */

byte head = 1;                 /* latest accepted number */
byte in_force[ENTRIES];        /* number in force at each entry; 0 for none */
bool serving[ENTRIES];         /* whether each entry serves requests */
bool is_down;                  /* whether the platform is unreachable */

/* Has tickets accepted one after another. */
proctype operator() {
	do
	:: head < MAX_NUMBER && !is_down -> head++
	:: head >= MAX_NUMBER -> break
	od
}

/* Makes the platform unreachable for some time. */
proctype outage() {
	is_down = true;
	is_down = false
}

/* Reads a number and applies it, again and again. */
proctype entry(byte me) {
	byte read_number;
	byte rounds = 0;

	do
	:: rounds < MAX_ROUNDS ->
		rounds++;
		read_number = 0;
		if
		:: atomic { !is_down -> read_number = head }
		:: read_number = in_force[(me + 1) % ENTRIES]
		:: read_number = in_force[(me + 2) % ENTRIES]
		:: me == 0 && rounds == 2 ->  /* replaced by a new host */
			atomic { in_force[me] = 0; serving[me] = false }
		fi;
		/* The entry may pause here. */
		atomic {
#ifdef BLIND_APPLY
			assert(read_number >= in_force[me]);
			in_force[me] = read_number;
#else
			if
			:: read_number > in_force[me] -> in_force[me] = read_number
			:: else -> skip
			fi;
#endif
#ifdef SERVE_EMPTY
			serving[me] = true
#else
			serving[me] = (in_force[me] > 0)
#endif
		}
	:: rounds >= MAX_ROUNDS -> break
	od
}

/* The invariants, checked at any time. */
proctype monitor() {
	atomic {
		assert(in_force[0] <= head && in_force[1] <= head && in_force[2] <= head);
		assert(!serving[0] || in_force[0] > 0);
		assert(!serving[1] || in_force[1] > 0);
		assert(!serving[2] || in_force[2] > 0)
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
