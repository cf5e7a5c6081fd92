"""The operators' policy: its keys, their ranges and defaults, and their current values.

A key is a tuning parameter of the scheduler, such as the pause between two placement passes.
A policy file is TOML with one table, `[policy]`; a value is a number or an expression
(`lang`). Keys that a file omits keep their defaults.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, fields
from pathlib import Path

from spoolcourse.errors import UserError
from spoolcourse.policy.lang import Expression, Inputs, Range, compile_expression

# Measured values and settings that expressions can use.
INPUTS: dict[str, Range] = {
    "waiting_jobs": Range(0, 1e6),  # jobs with unplaced tasks
    "machines": Range(0, 1e5),  # machines that can take work
    "load": Range(0, 100),  # CPUs demanded, divided by the CPUs of all machines
    "pass_cost_s": Range(0, 10),  # processor time of the last scheduling pass
    "boot_s": Range(1, 3600),  # longest usual boot time in the catalog
    "report_s": Range(0.01, 3600),  # the workers' heartbeat interval
    "lease_s": Range(0.01, 3600),  # the duration of a worker's lease
}


@dataclass(frozen=True, slots=True)
class Key:
    """A key that operators can set: its default, range and description."""

    default: str  # an expression
    low: float
    high: float
    unit: str
    description: str


# The descriptions are recorded and kept as they are; in them, "ordinary" means on-demand. `Policy`
# repeats the meanings of the keys.
KEYS: dict[str, Key] = {
    "node_fetches": Key("2", 1, 100, "fetches", "image fetches at once on a machine"),
    "zone_fetches": Key(
        "max(16, 0.4 * machines)", 0, 100_000, "fetches", "image fetches at once in a zone"
    ),
    "pass_gap_s": Key(
        "min(2, max(0.1, 8 * pass_cost_s))", 0.01, 10, "s", "shortest time between two passes"
    ),
    "pass_period_s": Key("1", 0.1, 30, "s", "longest time between two passes"),
    "default_estimate_s": Key("60", 1, 86_400, "s", "run time of jobs without an estimate"),
    "idle_boots": Key("1", 0, 1000, "boots", "an idle machine is kept for so many boot times"),
    "idle_min_s": Key("30", 0, 86_400, "s", "and at least for so long"),
    "surplus_idle_s": Key("10", 0, 86_400, "s", "an idle surplus ordinary machine is kept"),
    "keep_s": Key("100", 0, 3600, "s", "capacity is kept for the peak demand of so long"),
    "headroom": Key("1.6", 0, 10, "times", "spot capacity at hand, by that peak"),
    "ordinary_keep_s": Key("30", 0, 3600, "s", "peak that ordinary machines are kept for"),
    "ordinary_headroom": Key("0.7", 0, 10, "times", "ordinary machines above it are surplus"),
    "ordinary_wait_s": Key("15", 0, 86_400, "s", "wait for spot before ordinary is rented"),
    "rescue_estimates": Key(
        "1.5", 0, 100, "estimates", "a deadline closer than that, and a boot, is in danger"
    ),
    "refused_s": Key("5", 1, 3600, "s", "pause after a kind of machine was refused"),
    "silent_leases": Key("3", 2, 100, "leases", "a machine silent for so long is deleted"),
    "boot_patience": Key("4", 1, 100, "boots", "a machine that boots longer is deleted"),
    "rare_s": Key("300", 0, 86_400, "s", "a type that some job depends on is spared"),
    "service_spares": Key(
        "1", 0, 100, "machines", "in a zone kept free of services for the loss of one"
    ),
    "begin_s": Key("90", 1, 86_400, "s", "a job that waits longer has its first task put first"),
    "preempt_patience_s": Key("5", 0, 3600, "s", "a task that ends so soon is not stopped"),
}
INTEGER_KEYS = ("node_fetches", "zone_fetches")  # their values are rounded


@dataclass(slots=True)
class Policy:
    """The current values of all keys; refreshed in each scheduling pass."""

    # Image fetches at once on a machine, and in a zone.
    node_fetches: float = 0.0
    zone_fetches: float = 0.0
    # Pause after a placement pass, and how long the next one then waits for a change at most.
    pass_gap_s: float = 0.0
    pass_period_s: float = 0.0
    default_estimate_s: float = 0.0  # run time of a task whose job gives no estimate
    # An idle machine is kept for `idle_boots` boot times of its type, and at least `idle_min_s`.
    idle_boots: float = 0.0
    idle_min_s: float = 0.0
    surplus_idle_s: float = 0.0  # the same for a scale-in candidate
    # CPUs kept: `headroom` times the peak demand of the last `keep_s`.
    keep_s: float = 0.0
    headroom: float = 0.0
    # On-demand machines above `ordinary_headroom` times the peak demand of the last
    # `ordinary_keep_s` become scale-in candidates.
    ordinary_keep_s: float = 0.0
    ordinary_headroom: float = 0.0
    ordinary_wait_s: float = 0.0  # a job waits so long for spot machines before on-demand ones
    # A job with a deadline waits for spot machines until only so many of its estimated run times,
    # and a boot time, are left.
    rescue_estimates: float = 0.0
    refused_s: float = 0.0  # first backoff after the cloud refused a kind of machine
    silent_leases: float = 0.0  # a machine out of contact for so many leases is deleted
    boot_patience: float = 0.0  # a machine that boots for more boot times of its type is deleted
    # An idle machine is kept for so long if its type is scarce: within so long, a job could use the
    # type, but not all types.
    rare_s: float = 0.0
    # On-demand machines kept in each zone beyond those that its services need.
    service_spares: float = 0.0
    begin_s: float = 0.0  # the first task of a job that waits longer is scheduled before all ranks
    preempt_patience_s: float = 0.0  # a task expected to end within this time is not preempted


class CompiledPolicy:
    """A policy whose expressions have been checked: computes the values of all keys."""

    def __init__(self, expressions: dict[str, Expression]) -> None:
        self._expressions = expressions
        self._input_dependent = {k: e for k, e in expressions.items() if not e.constant}

    def initial(self) -> Policy:
        """The values before any measurement: computed with all inputs at their lowest."""
        policy = Policy()
        self._set_values(policy, self._expressions, {name: r.low for name, r in INPUTS.items()})
        return policy

    def refresh(self, policy: Policy, inputs: Inputs) -> None:
        """Update the keys that depend on inputs in `policy`; checked expressions can't raise."""
        self._set_values(policy, self._input_dependent, inputs)

    @staticmethod
    def _set_values(policy: Policy, expressions: dict[str, Expression], inputs: Inputs) -> None:
        for key, expression in expressions.items():
            value = float(expression.evaluate(inputs))
            setattr(policy, key, float(round(value)) if key in INTEGER_KEYS else value)


def compile_policy(table: dict[str, object], source: str) -> CompiledPolicy:
    """Compile the table `[policy]`; `source` is the file's name for errors.

    Raises `UserError` with key, column and reason of every problem.
    """
    problems = [f"{key}: column 1: unknown key" for key in table if key not in KEYS]
    expressions: dict[str, Expression] = {}
    for name, key in KEYS.items():
        value = table.get(name, key.default)
        if isinstance(value, bool) or not isinstance(value, str | int | float):
            problems.append(f"{name}: column 1: a number or an expression in quotes is needed")
            continue
        text = value if isinstance(value, str) else repr(value)
        compiled = compile_expression(text, INPUTS, Range(key.low, key.high))
        if isinstance(compiled, Expression):
            expressions[name] = compiled
        else:
            problems += [
                f"{name}: column {problem.column}: {problem.reason}" for problem in compiled
            ]
    if problems:
        raise UserError("\n".join(f"{source}: {problem}" for problem in problems))
    return CompiledPolicy(expressions)


def load_policy(path: str | None) -> CompiledPolicy:
    """The policy of a file, or the defaults without one."""
    if path is None:
        return compile_policy({}, "defaults")
    try:
        data = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as exc:
        raise UserError(f"{path}: cannot be read: {exc.strerror}") from exc
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise UserError(f"{path}: not TOML: {exc}") from exc
    unknown_keys = [key for key in data if key != "policy"]
    if unknown_keys:
        raise UserError(
            f"{path}: {unknown_keys[0]}: column 1: unknown key; all keys are in [policy]"
        )
    table = data.get("policy", {})
    if not isinstance(table, dict):
        raise UserError(f"{path}: policy: column 1: must be a table")
    return compile_policy(table, path)


assert {f.name for f in fields(Policy)} == set(KEYS)
