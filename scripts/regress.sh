#!/bin/sh
# Plays the standard days of deployments on the users' bench and compares their worth with
# docs/regress.tsv. Exits with 1 if a rule is broken or if a day has lost more than the noise.
#
#   TM_BENCH=PATH scripts/regress.sh SITE_FILE...
set -eu
cd "$(dirname "$0")/.."
: "${TM_BENCH:?is the path of the bench}"
NOISE=0.03
OUT=$(mktemp)
trap 'rm -f "$OUT"' EXIT
status=0
for file in "$@"; do
	site=$(basename "$file" .toml)
	"$TM_BENCH" score "$file" --jobs 3 --why "regression run of $site" >"$OUT" 2>&1 || status=1
	awk -v site="$site" -v noise="$NOISE" '
		NR == FNR { if ($1 == site) { worth[$2] = $3; served[$2] = $4 }; next }
		/BROKEN/ { print site, $1, "a rule is broken"; failed = 1 }
		$1 in worth && $2 ~ "/" {
			lost = worth[$1] - $4
			printf "%s %s worth %.3f (%.3f), served %.3f (%.3f)%s\n", site, $1, $4, worth[$1], $5, served[$1], (lost > noise ? " LESS" : "")
			if (lost > noise) failed = 1
		}
		END {
			if (length(worth) == 0) print site, "has no figures in docs/regress.tsv"
			exit failed
		}
	' docs/regress.tsv "$OUT" || status=1
done
exit $status
