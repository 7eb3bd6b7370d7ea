/*
 * Age of the knowledge of the routes.
 *
 * One change is accepted by the store. Two entries ask the store, whose reply shows its state at some time between
 * the call and the reply, and tell each other by messages how old their knowledge is and whether they have the change.
 * A reply and a message may take any time. An entry takes over a peer's age only if it has all that the peer has, and
 * counts it from before the message was sent. It rejects requests once its knowledge is older than REJECT and it knows of
 * a change that it does not have.
 *
 * Checked: an entry that serves without the change BOUND ticks after it was accepted has knowledge older than REJECT,
 * and has heard of no change. That is the outage in which nobody can confirm anything.
 *
 * Broken variants, which must fail: NO_REJECT never rejects; COUNT_FROM_ARRIVAL counts a peer's age from when the
 * message is read; COUNT_FROM_REPLY counts the age from the store's reply; REFRESH_BEHIND takes over the age of a peer
 * whose change it does not have.
 */

#define ENTRIES 2
#define REJECT 2
#define BOUND 3
#define MAX_AGE 4              /* ages are not counted beyond this */
#define OLDER(age) (age < MAX_AGE -> age + 1 : age)

bool accepted;                 /* whether the change is accepted */
byte since;                    /* ticks since then */
bool has[ENTRIES];             /* whether each entry has the change */
bool knows[ENTRIES];           /* whether each entry has heard of it */
byte age[ENTRIES];             /* age of the knowledge of each entry */

bool is_calling[ENTRIES];      /* whether a call to the store is in progress */
byte call_age[ENTRIES];        /* ticks since it was sent */
bool is_answered[ENTRIES];     /* whether the store has answered it */
bool answer[ENTRIES];          /* whether the answer has the change */

bool is_sent;                  /* whether a message is on its way */
byte message_age;              /* age of the knowledge of its sender */
bool message_has;              /* whether its sender has the change */

inline take_over(me, new_age) {
	if
	:: new_age < age[me] -> age[me] = new_age
	:: else -> skip
	fi
}

/* Lets time pass, and has the change accepted at any time. */
proctype clock() {
	byte index;

	do
	:: atomic { !accepted -> accepted = true }
	:: atomic {
			if
			:: accepted -> since = OLDER(since)
			:: else -> skip
			fi;
#ifndef COUNT_FROM_ARRIVAL
			message_age = OLDER(message_age);
#endif
			for (index : 0 .. ENTRIES - 1) {
				age[index] = OLDER(age[index]);
				call_age[index] = OLDER(call_age[index])
			}
			index = 0
		}
	od
}

proctype entry(byte me) {
	do
	:: atomic { !is_calling[me] -> is_calling[me] = true; call_age[me] = 0; is_answered[me] = false }
	:: atomic { is_calling[me] && !is_answered[me] -> is_answered[me] = true; answer[me] = accepted }
	:: atomic { is_calling[me] && is_answered[me] ->
			is_calling[me] = false;
			has[me] = has[me] || answer[me];
			answer[me] = false;
			is_answered[me] = false;
#ifdef COUNT_FROM_REPLY
			age[me] = 0
#else
			take_over(me, call_age[me])
#endif
		}
	:: atomic { !is_sent -> is_sent = true; message_age = age[me]; message_has = has[me] }
	:: atomic { is_sent ->
			is_sent = false;
			knows[me] = knows[me] || message_has;
			if
#ifndef REFRESH_BEHIND
			:: message_has && !has[me] -> skip
#else
			:: false -> skip
#endif
			:: else -> take_over(me, message_age)
			fi;
			message_age = 0; message_has = false
		}
	:: atomic { is_sent -> is_sent = false; message_age = 0; message_has = false }  /* lost */
	/* Fetches the change from an entry that has it. */
	:: atomic { knows[me] && !has[me] && (has[0] || has[1]) -> has[me] = true }
	/* Serves a request. */
	:: atomic {
#ifndef NO_REJECT
			!(age[me] >= REJECT && knows[me] && !has[me]) ->
#endif
			assert(has[me] || since < BOUND || (age[me] >= REJECT && !knows[me]))
		}
	od
}

init {
	atomic {
		run clock();
		run entry(0);
		run entry(1)
	}
}
