"""The operators' policy: a checked expression always evaluates to a value in its range."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from spoolcourse.cli import main
from spoolcourse.errors import UserError
from spoolcourse.policy.keys import INPUTS, KEYS, compile_policy, load_policy
from spoolcourse.policy.lang import Expression, Range, compile_expression
from tests.test_cli import write_settings

WIDE_RANGE = Range(-1e12, 1e12)


def compile_valid(text: str) -> Expression:
    expression = compile_expression(text, INPUTS, WIDE_RANGE)
    assert isinstance(expression, Expression), expression
    return expression


@pytest.mark.parametrize(
    ("text", "value"),
    [
        ("1 + 2 * 3 - 4 / 8", 6.5),
        ("-load + 3", 1.0),
        ("min(load, 9, 1.5)", 1.5),
        ("max(waiting_jobs, 7)", 10.0),
        ("1 if load > 1 and not waiting_jobs == 3 else 2", 1.0),
        ("1 if 0 < load < 1 or False else 2", 2.0),
        ("machines / max(1, waiting_jobs)", 0.5),
    ],
)
def test_expressions_evaluate_to_their_values(text: str, value: float) -> None:
    inputs = {name: r.low for name, r in INPUTS.items()}
    inputs |= {"load": 2.0, "waiting_jobs": 10.0, "machines": 5.0}
    assert compile_valid(text).evaluate(inputs) == value


@pytest.mark.parametrize(
    ("text", "column", "reason"),
    [
        ("1 / load", 5, "zero"),
        ("1 / (machines - 3)", 6, "zero"),
        ("2 ** 9", 1, "arithmetic"),
        ("pace + 1", 1, "unknown name"),
        ("load.real", 1, "not part"),
        ("open(load)", 1, "min and max"),
        ("[1]", 1, "not part"),
        ("'x'", 1, "only numbers"),
        ("1 + (load > 2)", 6, "number is needed"),
        ("1 if load else 2", 6, "true or false"),
        ("1 + * 2", 5, "cannot be read"),
        ("waiting_jobs * waiting_jobs * waiting_jobs", 1, "larger"),
        ("1" + "+1" * 200, 1, "too many"),
        ("", 1, "cannot be read"),
    ],
)
def test_invalid_expressions_are_rejected_with_column_and_reason(
    text: str, column: int, reason: str
) -> None:
    errors = compile_expression(text, INPUTS, WIDE_RANGE)
    assert not isinstance(errors, Expression)
    assert reason in errors[0].reason
    assert errors[0].column == column


def test_a_checked_expression_never_raises_and_stays_in_its_range() -> None:
    rng = random.Random(5)
    names = list(INPUTS)

    def random_expression(depth: int) -> str:
        if depth == 0:
            return rng.choice([*names, "0", "0.5", "3", "-2"])
        a, b = random_expression(depth - 1), random_expression(depth - 1)
        return rng.choice(
            [
                f"({a} + {b})",
                f"({a} - {b})",
                f"({a} * {b})",
                f"({a} / {b})",
                f"min({a}, {b})",
                f"max({a}, {b})",
                f"({a} if {a} < {b} else {b})",
            ]
        )

    checked = 0
    for _ in range(600):
        expression = compile_expression(random_expression(rng.randint(0, 4)), INPUTS, WIDE_RANGE)
        if not isinstance(expression, Expression):
            continue
        checked += 1
        for _ in range(5):
            inputs = {name: rng.choice([-1e18, 0.0, 1.0, 7.7, 1e18]) for name in names}
            value = expression.evaluate(inputs)
            tolerance = 1e-6 * max(1.0, abs(expression.range.low), abs(expression.range.high))
            assert expression.range.low - tolerance <= value <= expression.range.high + tolerance
    assert checked > 100


def test_all_problems_are_reported_at_once() -> None:
    with pytest.raises(UserError) as raised:
        compile_policy(
            {"headroom": "load", "pace": 1, "keep_s": True, "idle_boots": "1 /"}, "p.toml"
        )
    lines = str(raised.value).splitlines()
    assert len(lines) == 4
    for line, words in zip(
        lines,
        (("pace", "unknown key"), ("idle_boots",), ("keep_s", "number"), ("headroom", "allowed")),
        strict=True,
    ):
        assert line.startswith("p.toml: ")
        assert "column" in line
        assert all(word in line for word in words), line


def test_policy_files_and_defaults(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    policy = load_policy(None).initial()
    assert policy.pass_gap_s == 0.1
    assert policy.node_fetches == 2
    good = tmp_path / "good.toml"
    good.write_text('[policy]\nzone_fetches = "4 + machines / 10"\nheadroom = 2\n')
    source = load_policy(str(good))
    policy = source.initial()
    source.refresh(policy, dict.fromkeys(INPUTS, 100.0))
    assert policy.zone_fetches == 14
    assert policy.headroom == 2
    assert policy.pass_gap_s == 2, "the gap between passes grows with the load, up to a bound"
    config = write_settings(tmp_path / "s.json")
    for text in ("[policy]\nheadroom = 99\n", "x", "[other]\n", "policy = 3\n"):
        bad = tmp_path / "bad.toml"
        bad.write_text(text)
        for command in ("check", "serve"):
            assert main([command, "--config", config, "--policy", str(bad)]) == 1
            error = capsys.readouterr().err
            assert error.startswith("spoolcourse: ")
            assert error.count("\n") == 1
    assert main(["check", "--config", config, "--policy", str(good)]) == 0


def test_every_key_is_documented() -> None:
    text = Path(__file__).parents[2].joinpath("docs/operating.md").read_text()
    for name, key in KEYS.items():
        assert f"| `{name}` | `{key.default}` |" in text, name
    for name in INPUTS:
        assert f"| `{name}` |" in text, name
