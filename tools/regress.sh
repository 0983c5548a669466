#!/usr/bin/env bash
# Plays the regression sites and prints each day's worth beside the last landed one.
#
# usage: tools/regress.sh [KIT]   KIT holds the site files and the bench; the default is the users' kit beside the repository.
# JOBS days are played side by side (default 2): a large day is 147 processes.
set -euo pipefail
cd "$(dirname "$0")/.."

kit=${1:-../given/kit/more/system}
bench=$kit/more/bench-d17393/bin/fleetbench
landed=deploy/landed.tsv
sites="large/studenets-deck-large further-grown/junior-savers-grown sites/perimetros-grid sites/studenets-deck"
failed=0

for site in $sites; do
  out=$(mktemp)
  "$bench" score "$kit/$site.toml" --jobs "${JOBS:-2}" --why "Regression: $site" >"$out" 2>&1 || true
  echo "$site: $(grep -E '^GATE' "$out" || echo 'no verdict')"
  grep -q '^GATE passed' "$out" || failed=1
  awk -v site="$site" -v landed="$landed" '
    BEGIN { while ((getline line < landed) > 0) { split(line, f, "\t"); if (f[1] == site) last[f[2]] = f[3] } }
    $1 ~ /^(quiet|trouble|scale)-[0-9]+$/ && $2 ~ /\// {
      before = ($1 in last) ? last[$1] : "-"
      change = ($1 in last) ? sprintf("%+.3f", $4 - last[$1]) : "-"
      printf "  %-12s landed %-6s now %-6s change %s\n", $1, before, $4, change
    }' "$out"
  rm -f "$out"
done
exit "$failed"
