/*
 * The parts of a team's limit that two shards hold (core/tmquota). The limit is lowered
 * once. Each shard has one row, which only its owner writes; it reads the row of the
 * other shard late. Owners end at any time, and their successors know what is stored.
 *
 * Checked: no start brings what both shards run above the limit in force. A lowered limit
 * is in force when both owners have adopted it and have then read each other's row.
 *
 * Broken variants: EARLY_GIFT counts a gift before the giver has stored it, NO_DEBT
 * ignores that the other shard may act by the old limit, NO_EXCESS ignores that it
 * may run more than its part.
 */
#define HIGH 4
#define LOW 2
#define MAX_GIVEN 2

bool lowered, in_force;
byte limit[2] = HIGH;
byte used[2];
short given[2];
bool read_since[2];

/* What is stored, and what each owner has read of the other's row. */
bool stored[2];
byte stored_limit[2];
short stored_given[2];
byte stored_excess[2];
bool known[2];
byte known_limit[2];
short known_given[2];
byte known_excess[2];

inline compute_held(i) {
	held = limit[i] / 2 + known_given[i] - given[i];
}

inline compute_free(i) {
	compute_held(i);
	free = held - used[i];
#ifndef NO_DEBT
	if
	:: known[i] && known_limit[i] > limit[i] -> free = free - (known_limit[i] - limit[i]) / 2
	:: else
	fi;
#endif
#ifndef NO_EXCESS
	if
	:: known[i] -> free = free - known_excess[i]
	:: else
	fi;
#endif
}

inline read_row(i) {
	if
	:: stored[1 - i] ->
		known[i] = true;
		known_limit[i] = stored_limit[1 - i];
		known_given[i] = stored_given[1 - i];
		known_excess[i] = stored_excess[1 - i]
	:: else
	fi;
	read_since[i] = limit[0] == LOW && limit[1] == LOW;
	in_force = read_since[0] && read_since[1]
}

proctype shard(byte i) {
	short held, free;
	do
	:: atomic { lowered && limit[i] == HIGH -> limit[i] = LOW }
	:: atomic {
		stored[i] && used[i] < HIGH ->
		compute_free(i);
		if
		:: free > 0 && (stored_limit[i] == limit[i] || stored_limit[i] / 2 + known_given[i] - given[i] > used[i]) ->
			used[i]++;
			assert(used[0] + used[1] <= (in_force -> LOW : HIGH))
		:: else
		fi
	}
	:: atomic { used[i] > 0 -> used[i]-- }
	:: atomic {
		given[i] < MAX_GIVEN ->
		compute_free(i);
		if
		:: free > 0 ->
			given[i]++;
#ifdef EARLY_GIFT
			known_given[1 - i] = given[i]
#endif
		:: else
		fi
	}
	:: atomic {
		compute_held(i);
		stored[i] = true;
		stored_limit[i] = limit[i];
		stored_given[i] = given[i];
		stored_excess[i] = (used[i] > held -> used[i] - held : 0)
	}
	:: atomic { read_row(i) }
	:: atomic {
		/* The owner ends. Its successor reads all rows before it starts anything. */
		given[i] = (stored[i] -> stored_given[i] : 0);
		read_row(i)
	}
	od
}

init {
	atomic {
		run shard(0);
		run shard(1);
		lowered = false
	};
	lowered = true
}
