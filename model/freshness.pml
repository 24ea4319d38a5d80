/*
 * Freshness and acceptance, section 3.1 of docs/design.md.
 *
 * One process takes steps in any order: write, install, crash, time, accept,
 * and the questions of entry X. X stands for any entry: only its own answers
 * decide whether it is fresh, so those of the others are left out. One read of
 * the table or one round of heartbeats, at any moment, stands for any of them,
 * because each gives freshness for itself; asked_age counts from the first
 * question of the round. A run ends when its freshness has expired. Lost,
 * doubled, delayed and reordered pushes are steps that happen late, never or
 * for an old version. Acknowledgements and deaths are known at once, which
 * lets versions be accepted earlier than real writers can. Ages are counted
 * in ticks and stop at F. Differences of clock rates are not modelled; they
 * are covered by the added 1% of the wait.
 *
 * Step or macro            function in core/tmfresh
 * write_*                  the caller, after Tracker.InForce for membership
 * install                  Tracker.Install
 * crash                    Tracker.MemberGone
 * in_force, blocked        Tracker.settle, Tracker.reached
 * accept                   Tracker.InForceVersion
 * answer, deliver          Tracker.HeartbeatAnswered
 * read_*                   Tracker.TableRead
 * by_table, by_quorum      Tracker.tableUntil, Tracker.quorumUntil
 * fresh                    Tracker.Fresh
 *
 * Symbols that break a rule: NO_WAIT NO_QUESTION_TIME NO_ANSWER_VERSION
 * NO_TABLE_VERSION NO_MAJORITY NO_PREVIOUS NO_MEMBER_CHECK NO_IN_FORCE NO_CAS
 * ACK_BEFORE_INSTALL GONE_BY_SILENCE.
 */
#ifndef N
#define N 3
#endif
#ifndef MAXV
#define MAXV 2
#endif
#ifndef F
#define F 1
#endif
#define X 0
#define ALL ((1 << N) - 1)
#define BIT(i) (1 << (i))
#define HAS(set, i) (((set) >> (i)) & 1)
#define COUNT(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1) + (((s) >> 3) & 1))
#define MAJORITY(s) (COUNT(s) / 2 + 1)

byte ver[N];           /* installed version */
byte got[N];           /* version acknowledged */
byte alive = ALL;
byte gone;             /* members counted as gone */
byte table;            /* version in the table */
byte members[MAXV + 1];
byte previous[MAXV + 1];
byte waited[MAXV + 1]; /* ticks since every majority is blocked, plus 1 */
byte accepted;
bool reverted;

bool asking;           /* X has a round of heartbeats */
byte asked_age;        /* ticks since its first question was sent */
byte answer_age;       /* ticks since the last answer came */
byte answered;         /* members that answered */
byte delivered;        /* members whose answer X has */
byte answer_ver[N];
byte reading;          /* 1 sent, 2 done in the table, 3 answered */
byte read_age;
byte read_ver;

byte i, j, v, m, missing, lacking, acked; /* scratch, reset after use */

inline count_acked(vv) {
	acked = 0; j = 0;
	do
	:: j < N && got[j] >= vv -> acked = acked | BIT(j); j++
	:: j < N && got[j] < vv -> j++
	:: j >= N -> break
	od;
	missing = members[vv] & ~(acked | gone);
#ifdef NO_PREVIOUS
	lacking = 0;
#else
	lacking = previous[vv] & ~(acked | gone);
#endif
	j = 0; acked = 0
}
#define blocked(vv) (COUNT(missing) < MAJORITY(members[vv]) && COUNT(lacking) < MAJORITY(previous[vv]))
#ifdef NO_WAIT
#define in_force(vv) ((missing | lacking) == 0 || blocked(vv))
#else
#define in_force(vv) ((missing | lacking) == 0 || (blocked(vv) && waited[vv] > F))
#endif

/* start_wait notes since when the versions block every majority. */
inline start_wait() {
	v = 1;
	do
	:: v <= table ->
		count_acked(v);
		if
		:: waited[v] == 0 && v >= accepted && blocked(v) -> waited[v] = 1
		:: else
		fi;
		v++
	:: else -> break
	od;
	v = 0; missing = 0; lacking = 0
}

#ifdef NO_QUESTION_TIME
#define quorum_age answer_age
#define read_answered read_age = 0
#define at_once skip
#define expired 0
#define read_in_table 2
#else
#define quorum_age asked_age
#define read_answered skip
#define at_once delivered = answered
#define expired ((asking && asked_age >= F) || (reading && read_age >= F))
#define read_in_table 3
#endif
#ifdef NO_ANSWER_VERSION
#define counts(k) (HAS(delivered, k))
#else
#define counts(k) (HAS(delivered, k) && answer_ver[k] <= ver[X])
#endif
#if N > 3
#define votes (BIT(X) | (counts(1) << 1) | (counts(2) << 2) | (counts(3) << 3))
#else
#define votes (BIT(X) | (counts(1) << 1) | (counts(2) << 2))
#endif
#ifdef NO_MAJORITY
#define enough (COUNT(votes & members[ver[X]]) >= 1)
#else
#define enough (COUNT(votes & members[ver[X]]) >= MAJORITY(members[ver[X]]))
#endif
#define by_quorum (asking && quorum_age < F && enough)
#ifdef NO_TABLE_VERSION
#define by_table (reading == 3 && read_age < F)
#else
#define by_table (reading == 3 && read_age < F && read_ver == ver[X])
#endif
#ifdef NO_MEMBER_CHECK
#define member 1
#else
#define member HAS(members[ver[X]], X)
#endif
#define fresh (HAS(alive, X) && member && (by_table || by_quorum))

#ifdef NO_IN_FORCE
#define may_change 1
#else
#define may_change in_force(ver[i])
#endif
#ifdef NO_CAS
#define may_write (ver[i] < MAXV)
#else
#define may_write (ver[i] == table && table < MAXV)
#endif

inline put(mem, prev) {
	v = ver[i] + 1;
	reverted = reverted || v <= accepted;
	table = v; members[v] = mem; previous[v] = prev;
	ver[i] = v; got[i] = v; v = 0;
	start_wait()
}

inline any_entry() { i = 0; do :: i < N - 1 -> i++ :: break od }
inline any_version(from, to) { v = from; do :: v < to -> v++ :: break od }

inline forget_entry() { i = 0; v = 0; m = 0 }

inline write_config() {
	any_entry();
	if
	:: HAS(alive, i) && may_write -> put(members[ver[i]], previous[ver[i]])
	:: else
	fi;
	forget_entry()
}

inline write_members() {
	any_entry(); m = 0;
	do :: m < N - 1 -> m++ :: break od;
	count_acked(ver[i]);
	if
	:: HAS(alive, i) && may_write && (members[ver[i]] ^ BIT(m)) != 0 && may_change ->
	   missing = 0; lacking = 0; put(members[ver[i]] ^ BIT(m), members[ver[i]])
	:: else -> missing = 0; lacking = 0
	fi;
	forget_entry()
}

inline install() {
	any_entry(); any_version(0, table);
	if
	:: HAS(alive, i) && v > ver[i] ->
#ifdef ACK_BEFORE_INSTALL
		if :: got[i] < v -> got[i] = v :: ver[i] = v; got[i] = v fi;
#else
		ver[i] = v; got[i] = v;
#endif
		v = 0; start_wait()
	:: else
	fi;
	forget_entry()
}

inline crash() {
	any_entry();
#ifdef GONE_BY_SILENCE
	gone = gone | BIT(i);
#else
	alive = alive & ~BIT(i); gone = gone | BIT(i);
#endif
	start_wait(); forget_entry()
}

/* settle drops what no later step looks at. */
inline settle() {
	m = 1;
	do
	:: m < accepted -> waited[m] = 0; previous[m] = 0; m++
	:: else -> break
	od;
	m = 0
}

inline accept() {
	any_version(1, table);
	if
	:: v <= table && v > accepted ->
		count_acked(v);
		if :: in_force(v) -> accepted = v; settle() :: else fi;
		missing = 0; lacking = 0
	:: else
	fi;
	forget_entry()
}

inline answer() {
	any_entry();
	if
	:: asking && HAS(alive, i) && i != X && !HAS(answered, i) ->
		answered = answered | BIT(i); answer_ver[i] = ver[i]; at_once
	:: else
	fi;
	i = 0
}

/* An answer that comes late gives X less than the same answer at once, so
   delivery is a step of its own only where freshness counts from it. */
inline deliver() {
	any_entry();
	if
	:: HAS(answered, i) && !HAS(delivered, i) ->
		delivered = delivered | BIT(i); answer_age = 0
	:: else
	fi;
	i = 0
}

inline tick() {
	if :: asking && asked_age < F -> asked_age++ :: else fi;
	if :: asking && answer_age < F -> answer_age++ :: else fi;
	if :: reading && read_age < F -> read_age++ :: else fi;
	v = 1;
	do
	:: v <= MAXV ->
		if :: waited[v] > 0 && waited[v] <= F -> waited[v]++ :: else fi;
		v++
	:: else -> break
	od;
	v = 0
}


active proctype steps() {
	atomic {
		answer_age = F;
		/* X and each other entry is a member at first, or joins later. */
		i = 1;
		do :: i < ALL -> i++ :: break od;
		members[0] = i; previous[0] = i; i = 0
	}
	do
	:: atomic { table < MAXV -> write_config() }
	:: atomic { table < MAXV -> write_members() }
	:: atomic { table > 0 -> install() }
	:: atomic { gone == 0 -> crash() }
	:: atomic { accepted < table -> accept() }
	:: atomic { !asking && !reading -> asking = 1 }
	:: atomic { asking -> answer() }
	:: atomic { answered != delivered -> deliver() }
	:: atomic { !asking && !reading -> reading = 1 }
	:: atomic { reading == 1 -> read_ver = table; reading = read_in_table }
	:: atomic { reading == 2 -> reading = 3; read_answered }
	/* Without skip, the else in tick would belong to this loop. */
	:: atomic { skip; tick(); if :: expired -> break :: else fi }
	:: atomic { fresh && ver[X] < accepted -> assert(false) }
	:: atomic { reverted || table < accepted -> assert(false) }
	od
}
