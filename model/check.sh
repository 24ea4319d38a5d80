#!/bin/sh
# check.sh searches the models of freshness, ownership and quotas whole, and expects each
# variant with a broken rule to be rejected by an assertion.
set -u
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d) || exit 1
trap 'rm -rf "$work"' EXIT INT TERM

# search MODEL NAME DEFINE... builds and runs one variant; its output is in
# NAME/out. Processes of the models of ownership and quotas stop wherever a message is
# lost, so end states are not checked there.
search() {
	model=$1
	name=$2
	shift 2
	flags=-m100000
	[ "$model" = freshness ] || flags="$flags -E"
	mkdir "$work/$name" && cp "$here/$model.pml" "$work/$name/" || return 1
	(
		cd "$work/$name" &&
			spin "$@" -a "$model.pml" >build 2>&1 &&
			gcc -w -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=2000 -o pan pan.c >>build 2>&1 &&
			./pan $flags >out 2>&1
	) || return 1
}

# passes MODEL NAME DEFINE... expects a complete search without errors.
passes() {
	search "$@"
	shift
	out=$work/$1/out
	if grep -q 'errors: 0' "$out" 2>/dev/null &&
		! grep -q -e 'Search not completed' -e 'max search depth too small' "$out"; then
		echo "ok    $1: $(grep 'states, stored' "$out" | tr -s ' ')"
	else
		echo "FAIL  $1: expected a complete search without errors"
	fi
}

# rejects MODEL NAME expects a violated assertion in the variant.
rejects() {
	search "$1" "$2" "-D$2"
	if grep -q 'assertion violated' "$work/$2/out" 2>/dev/null; then
		echo "ok    $2: rejected"
	else
		echo "FAIL  $2: expected a violated assertion"
	fi
}

# Compiling takes most of the time, so three lanes run side by side.
{
	passes freshness F1 -DF=1
	passes ownership OWNERSHIP
	for rule in NO_TOKEN NO_GUARD NO_INTENT ACK_BEFORE_NOTE NO_LAPSE \
		STORE_BEFORE_LOAD CUT_LIST; do
		rejects ownership "$rule"
	done
	passes quota QUOTA
	for rule in EARLY_GIFT NO_DEBT NO_EXCESS; do
		rejects quota "$rule"
	done
} >"$work/lane1" &
passes freshness F2 -DF=2 >"$work/lane2" &
for rule in NO_WAIT NO_QUESTION_TIME NO_ANSWER_VERSION NO_TABLE_VERSION \
	NO_MAJORITY NO_PREVIOUS NO_MEMBER_CHECK NO_IN_FORCE NO_CAS \
	ACK_BEFORE_INSTALL GONE_BY_SILENCE; do
	rejects freshness "$rule"
done >"$work/lane3"
wait
cat "$work/lane1" "$work/lane2" "$work/lane3"
test "$(grep -c '^ok' "$work/lane1" "$work/lane2" "$work/lane3" | cut -d: -f2 | tr '\n' ' ')" = "13 1 11 "
