"""Run failover trials: `python -m tests.loopback --runs 10 [--seed 1] [--standby both]`.

Prints the outcome of each trial, the seed of each that broke a rule, and a summary of the times.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import sys
import tempfile
from pathlib import Path
from random import SystemRandom

import msgspec

from tests.loopback.trial import FailoverTrial, Options, Outcome

MODES = {"off": [False], "on": [True], "both": [False, True]}


def main() -> int:
    """Run the trials; returns the exit code."""
    parser = argparse.ArgumentParser(prog="python -m tests.loopback", description=__doc__)
    parser.add_argument("--runs", type=int, default=5, help="trials of each variant")
    parser.add_argument("--seed", type=int, help="seed of the first trial; random by default")
    parser.add_argument("--standby", choices=MODES, default="both")
    parser.add_argument("--controllers", type=int, default=3)
    parser.add_argument("--kills", type=int, default=4, help="leader failures in a trial")
    parser.add_argument(
        "--lag", action="store_true", help="write a burst of changes before each failure"
    )
    parser.add_argument(
        "--no-pauses", action="store_true", help="only kill leaders, never pause them"
    )
    parser.add_argument("--machines", type=int, default=4)
    parser.add_argument(
        "--report-s", type=float, default=1.0, help="heartbeat interval of the workers"
    )
    parser.add_argument("--logs", type=Path, help="keep the processes' logs in this directory")
    parser.add_argument(
        "--out", type=Path, help="append the outcomes to this file, one JSON object per line"
    )
    args = parser.parse_args()
    first_seed = args.seed if args.seed is not None else SystemRandom().randrange(1_000_000)
    outcomes: list[Outcome] = []
    for seed in range(first_seed, first_seed + args.runs):
        for standby in MODES[args.standby]:
            options = Options(
                seed,
                standby,
                args.controllers,
                args.kills,
                not args.no_pauses,
                args.lag,
                args.machines,
                args.report_s,
            )
            with tempfile.TemporaryDirectory() as temporary:
                directory = args.logs / f"{seed}-{standby}" if args.logs else Path(temporary)
                directory.mkdir(parents=True, exist_ok=True)
                outcome = asyncio.run(FailoverTrial(options, directory).run())
            outcomes.append(outcome)
            report(outcome)
            if args.out is not None:
                with args.out.open("ab") as out:
                    out.write(msgspec.json.encode(outcome) + b"\n")
    for standby in MODES[args.standby]:
        summarise(standby, [o for o in outcomes if o.options.standby is standby])
    return 1 if any(outcome.broken for outcome in outcomes) else 0


def report(outcome: Outcome) -> None:
    """Print one line for a trial and one for each broken rule."""
    options = outcome.options
    times = ", ".join(f"{t.to_first_start_s:.2f}" for t in outcome.takeovers)
    print(f"seed {options.seed}, standby {options.standby}: first starts after {times} s", end="")
    print(f"; {outcome.submissions} jobs, {outcome.refused} requests refused", flush=True)
    for rule in outcome.broken:
        print(f"  BROKEN (seed {options.seed}): {rule}", flush=True)


def summarise(standby: bool, outcomes: list[Outcome]) -> None:
    """Print median, 95th percentile and maximum of the failover times."""
    killed = [t for o in outcomes for t in o.takeovers if not t.paused]
    paused = [t for o in outcomes for t in o.takeovers if t.paused]
    print(f"standby {'on' if standby else 'off'}: {len(killed)} killed, {len(paused)} paused")
    rows = {"kill to first start": [t.to_first_start_s for t in killed]}
    rows["pause to first start"] = [t.to_first_start_s for t in paused]
    for phase in dict.fromkeys(name for t in killed for name in t.phases_s):
        rows[phase] = [t.phases_s[phase] for t in killed if phase in t.phases_s]
    for name, values in rows.items():
        if values:
            values.sort()
            p95 = values[min(len(values) - 1, int(0.95 * len(values)))]
            median = statistics.median(values)
            print(f"  {name}: median {median:.3f}, p95 {p95:.3f}, worst {values[-1]:.3f} s")
    print(f"  requests refused: {sum(o.refused for o in outcomes)}")


if __name__ == "__main__":
    sys.exit(main())
