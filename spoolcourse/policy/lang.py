"""The operators' expression language: small, total, and checked before it runs.

Numbers, booleans, named inputs, `+ - * /`, comparisons, `and`, `or`, `not`,
`A if C else B`, `min(...)` and `max(...)`; nothing else. Python's own parser reads it,
and only what is listed here is let through.

The checker works out for each expression the range of values it can take, given the
ranges of its inputs. A division whose divisor may be zero, or a result that may leave
its key's range, is a problem. So a checked expression always has a value, and a usable
one: inputs are clamped to their ranges when it is evaluated.
"""

from __future__ import annotations

import ast
import operator
from collections.abc import Callable, Mapping
from dataclasses import dataclass

LONGEST = 500  # characters
MOST_NODES = 200
LARGEST = 1e12  # of any intermediate value, so that nothing overflows

Value = float | bool
Inputs = Mapping[str, float]
Evaluate = Callable[[Inputs], Value]


@dataclass(frozen=True, slots=True)
class Range:
    """The values that an expression can take."""

    low: float
    high: float


@dataclass(frozen=True, slots=True)
class Flaw:
    """A problem in an expression, and where it is."""

    column: int  # counted from 1
    reason: str


@dataclass(frozen=True, slots=True)
class Expression:
    """A checked expression."""

    text: str
    range: Range
    evaluate: Evaluate
    constant: bool


@dataclass(frozen=True, slots=True)
class _Part:
    """A checked part; `range` is None for booleans."""

    run: Evaluate
    range: Range | None
    constant: bool


_ARITHMETIC: dict[type[ast.operator], Callable[[float, float], float]] = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
    ast.Mult: operator.mul,
    ast.Div: operator.truediv,
}
_COMPARISONS: dict[type[ast.cmpop], Callable[[float, float], bool]] = {
    ast.Lt: operator.lt,
    ast.LtE: operator.le,
    ast.Gt: operator.gt,
    ast.GtE: operator.ge,
    ast.Eq: operator.eq,
    ast.NotEq: operator.ne,
}


class _Checker:
    def __init__(self, inputs: Mapping[str, Range]) -> None:
        self._inputs = inputs
        self.flaws: list[Flaw] = []

    def _flaw(self, node: ast.expr, reason: str) -> None:
        self.flaws.append(Flaw(node.col_offset + 1, reason))

    def check_number(self, node: ast.expr) -> tuple[_Part, Range] | None:
        part = self.check(node)
        if part is None:
            return None
        if part.range is None:
            self._flaw(node, "a number is needed here, this is true or false")
            return None
        return part, part.range

    def _truth(self, node: ast.expr) -> _Part | None:
        part = self.check(node)
        if part is not None and part.range is not None:
            self._flaw(node, "true or false is needed here, this is a number")
            return None
        return part

    def check(self, node: ast.expr) -> _Part | None:
        """The checked part, or None if it has flaws."""
        match node:
            case ast.Constant():
                return self._constant(node)
            case ast.Name():
                return self._name(node)
            case ast.UnaryOp():
                return self._unary(node)
            case ast.BinOp():
                return self._binary(node)
            case ast.Compare():
                return self._compare(node)
            case ast.BoolOp():
                return self._logic(node)
            case ast.IfExp():
                return self._choice(node)
            case ast.Call():
                return self._call(node)
        self._flaw(node, "this is not part of the language")
        return None

    def _constant(self, node: ast.Constant) -> _Part | None:
        value = node.value
        if isinstance(value, bool):
            return _Part(lambda _: value, None, True)
        if isinstance(value, int | float) and abs(value) <= LARGEST:
            number = float(value)
            return _Part(lambda _: number, Range(number, number), True)
        self._flaw(node, "only numbers up to 1e12, true and false can be written")
        return None

    def _name(self, node: ast.Name) -> _Part | None:
        bounds = self._inputs.get(node.id)
        if bounds is None:
            self._flaw(node, f"unknown name {node.id!r}; known: {', '.join(sorted(self._inputs))}")
            return None
        name, low, high = node.id, bounds.low, bounds.high
        return _Part(lambda inputs: min(max(inputs[name], low), high), bounds, False)

    def _unary(self, node: ast.UnaryOp) -> _Part | None:
        if isinstance(node.op, ast.Not):
            truth = self._truth(node.operand)
            if truth is None:
                return None
            inner = truth.run
            return _Part(lambda inputs: not inner(inputs), None, truth.constant)
        if not isinstance(node.op, ast.USub):
            self._flaw(node, "this is not part of the language")
            return None
        found = self.check_number(node.operand)
        if found is None:
            return None
        part, bounds = found
        run = part.run
        return _Part(lambda inputs: -run(inputs), Range(-bounds.high, -bounds.low), part.constant)

    def _binary(self, node: ast.BinOp) -> _Part | None:
        apply = _ARITHMETIC.get(type(node.op))
        if apply is None:
            self._flaw(node, "of arithmetic there is + - * / only")
            return None
        left, right = self.check_number(node.left), self.check_number(node.right)
        if left is None or right is None:
            return None
        (a, x), (b, y) = left, right
        if isinstance(node.op, ast.Div) and y.low <= 0.0 <= y.high:
            self._flaw(node.right, f"may be zero (it ranges from {y.low:g} to {y.high:g})")
            return None
        if isinstance(node.op, ast.Sub):
            corners = [x.low - y.high, x.high - y.low]
        elif isinstance(node.op, ast.Add):
            corners = [x.low + y.low, x.high + y.high]
        else:
            corners = [apply(p, q) for p in (x.low, x.high) for q in (y.low, y.high)]
        if max(map(abs, corners)) > LARGEST:
            self._flaw(node, "may become larger than 1e12")
            return None
        first, second = a.run, b.run
        return _Part(
            lambda inputs: apply(first(inputs), second(inputs)),
            Range(min(corners), max(corners)),
            a.constant and b.constant,
        )

    def _compare(self, node: ast.Compare) -> _Part | None:
        parts = [self.check_number(n) for n in [node.left, *node.comparators]]
        tests = [_COMPARISONS.get(type(op)) for op in node.ops]
        if None in tests:
            self._flaw(node, "of comparisons there is < <= > >= == != only")
            return None
        if any(p is None for p in parts):
            return None
        runs = [p[0].run for p in parts if p is not None]
        pairs = [(t, a, b) for t, a, b in zip(tests, runs, runs[1:], strict=False) if t]
        constant = all(p[0].constant for p in parts if p is not None)
        return _Part(
            lambda inputs: all(t(a(inputs), b(inputs)) for t, a, b in pairs), None, constant
        )

    def _logic(self, node: ast.BoolOp) -> _Part | None:
        parts = [self._truth(n) for n in node.values]
        if any(p is None for p in parts):
            return None
        runs = [p.run for p in parts if p is not None]
        combine = all if isinstance(node.op, ast.And) else any
        constant = all(p.constant for p in parts if p is not None)
        return _Part(lambda inputs: combine(run(inputs) for run in runs), None, constant)

    def _choice(self, node: ast.IfExp) -> _Part | None:
        test, yes, no = (
            self._truth(node.test),
            self.check_number(node.body),
            self.check_number(node.orelse),
        )
        if test is None or yes is None or no is None:
            return None
        (a, x), (b, y) = yes, no
        decide, first, second = test.run, a.run, b.run
        return _Part(
            lambda inputs: first(inputs) if decide(inputs) else second(inputs),
            Range(min(x.low, y.low), max(x.high, y.high)),
            test.constant and a.constant and b.constant,
        )

    def _call(self, node: ast.Call) -> _Part | None:
        name = node.func.id if isinstance(node.func, ast.Name) else ""
        if name not in ("min", "max") or node.keywords or len(node.args) < 2:
            self._flaw(node, "only min and max can be called, with two values or more")
            return None
        parts = [self.check_number(n) for n in node.args]
        if any(p is None for p in parts):
            return None
        whole = [p for p in parts if p is not None]
        pick: Callable[..., float] = min if name == "min" else max
        runs = [part.run for part, _ in whole]
        bounds = Range(pick(r.low for _, r in whole), pick(r.high for _, r in whole))
        return _Part(
            lambda inputs: pick(run(inputs) for run in runs),
            bounds,
            all(part.constant for part, _ in whole),
        )


def compile_expression(
    text: str, inputs: Mapping[str, Range], allowed: Range
) -> Expression | list[Flaw]:
    """The checked expression, or all that is wrong with it."""
    if len(text) > LONGEST:
        return [Flaw(LONGEST, f"longer than {LONGEST} characters")]
    if "\n" in text:
        return [Flaw(text.index("\n") + 1, "must be on one line")]
    try:
        tree = ast.parse(text.strip(), mode="eval")
    except (SyntaxError, ValueError, MemoryError, RecursionError) as exc:
        column = getattr(exc, "offset", None) or 1
        return [Flaw(column, "cannot be read as an expression")]
    if sum(1 for _ in ast.walk(tree)) > MOST_NODES:
        return [Flaw(1, "too many parts")]
    checker = _Checker(inputs)
    found = checker.check_number(tree.body)
    if found is None:
        return checker.flaws
    part, bounds = found
    if bounds.low < allowed.low or bounds.high > allowed.high:
        reason = (
            f"may be {bounds.low:g} to {bounds.high:g}, "
            f"allowed is {allowed.low:g} to {allowed.high:g}"
        )
        return [Flaw(1, reason)]
    return Expression(text, bounds, part.run, part.constant)
