/*
 * Delegation of an entry's share of the limits of accounts to an owner.
 *
 * One entry delegates its share to one of two owners, and moves it at any time. Messages are lost,
 * duplicated and arbitrarily late; owners pause between receiving and granting, and the entry
 * may be restarted. An owner that was restarted knows no delegation, and takes none that echoes its former
 * process, so that it is one to which nothing was delegated. Time is counted in ticks.
 *
 * Checked: the share is at one owner at a time, and an owner has it only when no credit that another owner
 * has granted from it can be used any more.
 *
 * Broken variants, which must fail: END_BY_ARRIVAL lets a delegation end by when its message arrives instead
 * of by the reply that it echoes; NO_WAIT moves the share before the former delegation has ended;
 * NO_CREDIT_WAIT moves it before the credit from it has ended; QUICK_RESTART delegates at once after a
 * restart of the entry.
 */

#define OWNERS 2
#define TICKS 5                /* length of the run */
#define SHARE_TTL 2            /* time for which a share is delegated */
#define CREDIT_TTL 2           /* time for which credit may be used */
#define NONE 255

/* Whether the entry may delegate its share to the target. */
#ifdef NO_WAIT
#define MAY_MOVE true
#else
#ifdef NO_CREDIT_WAIT
#define MAY_MOVE (held == target || held == NONE || now >= end)
#else
#define MAY_MOVE (held == target || held == NONE || now >= end + CREDIT_TTL)
#endif
#endif

byte now;
byte share_end[OWNERS];        /* when the delegation ends, by the owner */
byte credit_end[OWNERS];       /* when the last credit that the owner granted ends */

/* The last messages that were sent, which stay in the network: each may arrive never, late or often. */
bool is_sent[OWNERS];
byte ask_stamp[OWNERS];
bool has_replied[OWNERS];
byte reply_stamp[OWNERS];

/* Lets time pass. */
proctype clock() {
	do
	:: now < TICKS -> now++
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
#ifdef END_BY_ARRIVAL
			share_end[me] = now + SHARE_TTL
#else
			share_end[me] = ask_stamp[me] + SHARE_TTL
#endif
	}
	/* Grants credit while it has the share. The entry that gets it counts from when it asked, earlier. */
	:: atomic { now < share_end[me] -> credit_end[me] = now + CREDIT_TTL }
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
			not_before = now + SHARE_TTL + CREDIT_TTL
#endif
	}
	od
}

/* The invariant, checked at any time. */
proctype monitor() {
	atomic {
		assert(!(now < share_end[0] && now < share_end[1]));
		assert(!(now < share_end[0] && now < credit_end[1]));
		assert(!(now < share_end[1] && now < credit_end[0]))
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
