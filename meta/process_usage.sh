# Reads what processes used, from /proc. Sourced.

clock_ticks=$(getconf CLK_TCK)

# Processor time of a process so far, in ticks.
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }

# Peak and present memory of a process, in KiB.
peak_kib() { awk '/VmHWM/ {print $2}' "/proc/$1/status"; }
resident_kib() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }

# Share of one core between two readings: ticks_before ticks_after seconds.
core_share() { awk "BEGIN {printf \"%.4f\", ($2 - $1) / $clock_ticks / $3}"; }

# Slope and intercept of y over x, for lines of "x y" on standard input.
fit_line() {
  awk '{n++; sx += $1; sy += $2; sxx += $1 * $1; sxy += $1 * $2}
       END {d = n * sxx - sx * sx; s = d ? (n * sxy - sx * sy) / d : 0
            printf "slope=%.6g intercept=%.6g", s, (sy - s * sx) / n}'
}
