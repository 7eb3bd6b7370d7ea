/*
 * Delegation of an entry's share of the limits of accounts to an owner.
 *
 * One entry delegates its share to one of two owners, and moves it at any time. Messages are lost,
 * duplicated and arbitrarily late; owners pause between receiving and granting, and the entry
 * may be restarted. An owner that was restarted knows no delegation, and takes none that echoes its former
 * process, so that it is one to which nothing was delegated. Time is counted in ticks.
 *
 * The share earns one request a tick at each owner that has it. An owner grants what it has earned, and may
 * keep up to LEVEL; it loses that when the share ends. Credit is usable for CREDIT_TTL ticks. The share moves
 * without waiting for credit to end.
 *
 * Checked: the share is at one owner at a time, and the credit that may be used and the buckets have at most
 * LEVEL + CREDIT_TTL - 1 together: what the buckets had at the start of the tick before this one, and what was
 * earned since.
 *
 * Broken variants, which must fail: END_BY_ARRIVAL lets a delegation end by when its message arrives instead
 * of by the reply that it echoes; NO_WAIT moves the share before the former delegation has ended;
 * FULL_BUCKET lets a bucket begin full when the share arrives; QUICK_RESTART delegates at once after a restart
 * of the entry.
 */

#define OWNERS 2
#define TICKS 5                /* length of the run */
#define SHARE_TTL 2            /* time for which a share is delegated */
#define CREDIT_TTL 2           /* time for which credit may be used */
#define LEVEL 2                /* most that a bucket holds */
#define NONE 255

/* Whether the entry may delegate its share to the target. */
#ifdef NO_WAIT
#define MAY_MOVE true
#else
#define MAY_MOVE (held == target || held == NONE || now >= end)
#endif

byte now;
byte share_end[OWNERS];        /* when the delegation ends, by the owner */
byte level[OWNERS];            /* bucket of the owner; it is empty without the share */
byte granted[CREDIT_TTL];      /* credit that was granted in each of the last ticks, this one first */

/* The last messages that were sent, which stay in the network: each may arrive never, late or often. */
bool is_sent[OWNERS];
byte ask_stamp[OWNERS];
bool has_replied[OWNERS];
byte reply_stamp[OWNERS];

#define USABLE (granted[0] + granted[1])

/* Lets time pass: owners that have the share earn, and lose what they have when it ends. */
proctype clock() {
	byte index;
	do
	:: now < TICKS -> atomic {
		index = 0;
		do
		:: index < OWNERS ->
			if
			:: now < share_end[index] && level[index] < LEVEL -> level[index]++
			:: else -> skip
			fi;
			if
			:: now + 1 >= share_end[index] -> level[index] = 0
			:: else -> skip
			fi;
			index++
		:: else -> break
		od;
		granted[1] = granted[0];
		granted[0] = 0;
		now++
	}
	:: now >= TICKS -> break
	od
}

/* Takes delegations, replies and grants credit. */
proctype owner(byte me) {
	do
	:: now >= TICKS -> break
	/* Replies; the stamp is the time of the reply. */
	:: atomic { has_replied[me] = true; reply_stamp[me] = now }
	/* Takes the delegation of a message. */
	:: atomic {
		is_sent[me] ->
#ifdef FULL_BUCKET
			if
			:: now >= share_end[me] && now < ask_stamp[me] + SHARE_TTL -> level[me] = LEVEL
			:: else -> skip
			fi;
#endif
#ifdef END_BY_ARRIVAL
			share_end[me] = now + SHARE_TTL
#else
			share_end[me] = ask_stamp[me] + SHARE_TTL
#endif
	}
	/* Grants credit while it has the share. The entry that gets it counts from when it asked, earlier. */
	:: atomic { now < share_end[me] && level[me] > 0 -> level[me]--; granted[0]++ }
	od
}

/* Delegates its share to one owner, and moves it. */
proctype entry() {
	byte held = NONE;          /* the owner to which it is delegated */
	byte end = 0;              /* when that ends, by the entry */
	byte not_before = 0;       /* when the share may be delegated, after a restart */
	bool was_restarted = false;
	byte target;

	do
	:: now >= TICKS -> break
	:: atomic {
			now < TICKS ->
			if
			:: target = 0
			:: target = 1
			fi;
			if
			:: now >= not_before && has_replied[target] && MAY_MOVE ->
				held = target;
				end = now + SHARE_TTL;
				ask_stamp[target] = reply_stamp[target];
				is_sent[target] = true
			:: else -> skip
			fi;
			target = 0
	}
	:: atomic {
		!was_restarted ->
			was_restarted = true;
			held = NONE;
			end = 0;
#ifndef QUICK_RESTART
			not_before = now + SHARE_TTL
#endif
	}
	od
}

/* The invariant, checked at any time. */
proctype monitor() {
	atomic {
		assert(!(now < share_end[0] && now < share_end[1]));
		assert(USABLE + level[0] + level[1] <= LEVEL + CREDIT_TTL - 1)
	}
}

init {
	atomic {
		run clock();
		run owner(0);
		run owner(1);
		run entry();
		run monitor()
	}
}
