/*
 * Owner, placement, start, end and takeover, docs/PLATFORM.md.
 *
 * One task, two workers, two owners with the tokens 1 and 2. Owner 2 takes over
 * at any moment, also while owner 1 goes on. Messages are delivered late or
 * never. A worker that is cut off keeps running until its lease lapses.
 *
 * Step                     function
 * place                    tmcontrol.Plan, TakeFlush; tmowner.storeFlush
 * send                     tmcontrol.Stored, sendStart
 * deliver                  the worker
 * look_end, look_void      tmcontrol.HoldAnswered
 * note, ack                tmcontrol.Stored, NextHold
 * lapse, release           tmcontrol.Tick
 * take                     tmowner.acquireGuard, restore
 *
 * Symbols that break a rule: NO_TOKEN NO_GUARD NO_INTENT ACK_BEFORE_NOTE NO_LAPSE
 * STORE_BEFORE_LOAD CUT_LIST.
 */
#define W 2
#define MAXRUN 3
#define NONE 2

byte guard = 1;          /* token that may write */
byte place = NONE;       /* stored: where the run may be */
byte runs;               /* stored: highest run */
bool done;               /* stored: the task is done */

byte token[W];           /* highest token that a worker has seen */
byte running[W];         /* run on the worker, 0 for none */
byte ended[W];           /* run that ended as done and is listed */
byte barred[W];          /* highest run that ended there */
bool cut[W];             /* no owner reaches the worker */
bool lapsed[W];          /* every lease has lapsed since */

bool acked;              /* the end was acknowledged */
byte owner_place[3];     /* what an owner believes */
bool owner_done[3];
bool owns[3];
bool sent[3];            /* a start of that owner is on its way */
byte msg_run[3], msg_worker[3];
bool planned[3];         /* stored, and not sent yet */

#ifdef NO_GUARD
#define may_write(o) true
#else
#define may_write(o) (guard == o)
#endif

inline place_task(o, w) {
	/* The placement is stored before the start is sent. */
	runs++;
#ifdef NO_INTENT
	skip;
#else
	place = w;
#endif
	owner_place[o] = w;
	planned[o] = true
}

inline begin(o) {
	assert(running[0] == 0 && running[1] == 0);
	assert(!acked);
	/* An end that is still listed will be noted. Not so once the lease has lapsed. */
	assert((ended[0] == 0 || lapsed[0]) && (ended[1] == 0 || lapsed[1]));
	running[msg_worker[o]] = msg_run[o]
}

/* A list shows that there is no end, unless it was cut. */
#ifdef CUT_LIST
#define no_end(w) true
#else
#define no_end(w) (ended[w] == 0)
#endif

#define allowed(o, w) (token[w] <= o)

proctype Owner(byte o) {
	byte w;
	do
	/* place */
	:: atomic { owns[o] && !owner_done[o] && owner_place[o] == NONE && runs < MAXRUN && may_write(o) && !sent[o] ->
		if :: w = 0 :: w = 1 fi;
		if
		:: !cut[w] && token[w] == o -> place_task(o, w)
		:: else -> skip
		fi }
	/* send */
	:: atomic { planned[o] -> planned[o] = false; sent[o] = true; msg_run[o] = runs; msg_worker[o] = owner_place[o] }
	/* A look shows the token, and brings runs and ends. */
	:: atomic { owns[o] ->
		if :: w = 0 :: w = 1 fi;
		if
		:: cut[w] -> skip
		:: !cut[w] && token[w] > o -> owns[o] = false
		:: !cut[w] && token[w] <= o ->
			token[w] = o;
			if
			/* look_end, note, ack */
			:: ended[w] != 0 && may_write(o) ->
				owner_done[o] = true;
#ifdef ACK_BEFORE_NOTE
				acked = true; ended[w] = 0;
				if :: done = true :: skip fi
#else
				done = true; acked = true; ended[w] = 0
#endif
			/* look_void: the run is not there and can't come any more */
			:: no_end(w) && running[w] == 0 && owner_place[o] == w && !planned[o] && !sent[o] && may_write(o) ->
				owner_place[o] = NONE; place = NONE
			:: else -> skip
			fi
		fi }
	/* release: the worker is cut and its lease has lapsed */
	:: atomic { owns[o] && owner_place[o] != NONE && cut[owner_place[o]] && !planned[o] && !sent[o] && may_write(o) ->
#ifdef NO_LAPSE
		skip;
#else
		lapsed[owner_place[o]] ->
#endif
		owner_place[o] = NONE; place = NONE }
	:: atomic { !owns[o] -> break }
	:: atomic { owner_done[o] && !sent[o] && !planned[o] -> break }
	od
}

proctype Network(byte o) {
	do
	/* deliver */
	:: atomic { sent[o] ->
		sent[o] = false;
		if
#ifdef NO_TOKEN
		:: !cut[msg_worker[o]] && barred[msg_worker[o]] < msg_run[o] && running[msg_worker[o]] == 0 -> begin(o)
#else
		:: !cut[msg_worker[o]] && allowed(o, msg_worker[o]) && barred[msg_worker[o]] < msg_run[o] && running[msg_worker[o]] == 0 ->
			token[msg_worker[o]] = o; begin(o)
#endif
		:: skip
		fi }
	:: timeout -> break
	od
}

proctype Worker(byte w) {
	do
	:: atomic { running[w] != 0 -> ended[w] = running[w]; barred[w] = running[w]; running[w] = 0 }
	:: atomic { !cut[w] && !lapsed[w] -> cut[w] = true }
	/* lapse: what ran is gone, without an end */
	:: atomic { cut[w] && !lapsed[w] -> lapsed[w] = true; running[w] = 0 }
	:: timeout -> break
	od
}

init {
	atomic {
		owner_place[1] = NONE; owner_place[2] = NONE;
		owns[1] = true;
		run Owner(1); run Network(1); run Network(2); run Worker(0); run Worker(1)
	};
	/* take: owner 2 reads what is stored after it has changed the guard, and stores
	 * nothing before */
	atomic { guard = 2 };
#ifdef STORE_BEFORE_LOAD
	atomic { place = NONE; done = false };
#endif
	atomic {
		owner_place[2] = place; owner_done[2] = done; owns[2] = true;
		run Owner(2)
	}
}
