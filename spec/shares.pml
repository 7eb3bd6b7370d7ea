/*
 * Shares of the limits of accounts: which entries use one, and by how many they divide.
 *
 * Two entries register in the store under leases, renew them, learn late which entries are registered, and
 * use a share. Either may be cut off from the store or from the other at any time.
 *
 * Checked: when both use their share, both count the other. So the shares add up to at most 1.
 *
 * Broken variants, which must fail: NO_CONFIRMATION uses a share before the entries that were registered
 * earlier have confirmed that they count this one; NO_LEASE_END uses it after the lease may have ended;
 * OLD_LISTING uses it by a listing from before this entry's own registration.
 */

#define ENTRIES 2
#define TICKS 5
#define LEASE 2                /* duration of a lease in ticks */

/* Whether an entry uses its share now: the end of the lease is checked at each use. */
#ifdef NO_LEASE_END
#define USES(index) uses_share[index]
#else
#define USES(index) (uses_share[index] && now < until[index])
#endif
/* Whether the registered entries are known as of this entry's registration. */
#ifdef OLD_LISTING
#define IS_LISTED (known > 0)
#else
#define IS_LISTED (known >= own)
#endif
/* Whether the other entry has confirmed this one, or has been registered later, or not at all. */
#ifdef NO_CONFIRMATION
#define IS_CONFIRMED true
#else
#define IS_CONFIRMED (is_confirmed || seen == 0 || seen > own)
#endif

byte now;
byte revision = 1;             /* of the store */
byte registered[ENTRIES];      /* revision of the registration in the store; 0 for none */
byte lease_end[ENTRIES];       /* when the store removes it */
bool uses_share[ENTRIES];
bool counts_other[ENTRIES];
byte until[ENTRIES];           /* until when each entry knows that it is registered */

/* Lets time pass, and removes registrations whose lease has ended. */
proctype clock() {
	byte index;
	do
	:: now < TICKS -> atomic {
		now++;
		index = 0;
		do
		:: index < ENTRIES ->
			if
			:: registered[index] > 0 && now >= lease_end[index] ->
				registered[index] = 0;
				revision++
			:: else -> skip
			fi;
			index++
		:: else -> break
		od
	}
	:: now >= TICKS -> break
	od
}

/* Registers, learns of the other entry, asks it, and uses a share. */
proctype entry(byte me) {
	byte other = 1 - me;
	byte own = 0;              /* revision of the own registration */
	byte known = 0;            /* revision up to which the registrations are known */
	byte seen = 0;             /* revision of the other's registration, as far as it is known */
	bool is_confirmed = false;

	do
	:: now >= TICKS -> break
	/* Registers, or renews the lease. */
	:: atomic {
		revision < 9 && own == 0 && registered[me] == 0 ->
			revision++;
			own = revision;
			registered[me] = own;
			lease_end[me] = now + LEASE;
			until[me] = now + LEASE;
			is_confirmed = false
	}
	:: atomic { own > 0 && registered[me] == own -> lease_end[me] = now + LEASE; until[me] = now + LEASE }
	/* Learns that its registration is gone. */
	:: atomic { own > 0 && registered[me] != own -> own = 0; uses_share[me] = false }
	/* Lists the registered entries. */
	:: atomic {
		known < revision ->
			known = revision;
			seen = registered[other];
			counts_other[me] = (seen > 0)
	}
	/* Asks the other entry, which counts this one from then on, unless it knows better. */
	:: atomic {
		own > 0 && registered[me] == own ->
			counts_other[other] = true;
			is_confirmed = true
	}
	/* Uses its share, while it may. */
	:: atomic {
		!uses_share[me] && own > 0 && IS_LISTED && IS_CONFIRMED && now < until[me] ->
			uses_share[me] = true
	}
	:: atomic { uses_share[me] -> uses_share[me] = false }
	od
}

/* The invariant, checked at any time. */
proctype monitor() {
	atomic {
		assert(!(USES(0) && USES(1)) || (counts_other[0] && counts_other[1]))
	}
}

init {
	atomic {
		run clock();
		run entry(0);
		run entry(1);
		run monitor()
	}
}
