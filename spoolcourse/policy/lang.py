"""The operators' expression language: small, and checked so that evaluation never fails.

Numbers, booleans, named inputs, `+ - * /`, comparisons, `and`, `or`, `not`,
`A if C else B`, `min(...)` and `max(...)`; nothing else. Expressions are parsed by Python's
own parser, and all other syntax nodes are rejected.

The checker computes the range of values that each expression can take, given the ranges
of its inputs. It rejects a division whose divisor may be zero, and a result that may be
outside its key's range. Inputs are clamped to their ranges at evaluation, so a checked
expression always has a usable value.
"""

from __future__ import annotations

import ast
import operator
from collections.abc import Callable, Mapping
from dataclasses import dataclass

MAX_EXPRESSION_CHARACTERS = 500
MAX_AST_NODES = 200
MAX_ABSOLUTE_VALUE = 1e12  # of any intermediate value, so that nothing overflows

Value = float | bool
Inputs = Mapping[str, float]
Evaluate = Callable[[Inputs], Value]


@dataclass(frozen=True, slots=True)
class Range:
    """The values that an expression can take."""

    low: float
    high: float


@dataclass(frozen=True, slots=True)
class Diagnostic:
    """A problem that the checker found in an expression, with its column."""

    column: int  # counted from 1
    reason: str


@dataclass(frozen=True, slots=True)
class Expression:
    """A checked expression, with the function that computes its value from the inputs."""

    text: str
    range: Range
    evaluate: Evaluate
    constant: bool  # whether it depends on no input


@dataclass(frozen=True, slots=True)
class _Subexpression:
    """A checked subexpression; `range` is None for booleans."""

    evaluate: Evaluate
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
    """Checks the nodes of a syntax tree, and compiles them to functions of the inputs."""

    def __init__(self, inputs: Mapping[str, Range]) -> None:
        self._inputs = inputs
        self.diagnostics: list[Diagnostic] = []

    def _report(self, node: ast.expr, reason: str) -> None:
        self.diagnostics.append(Diagnostic(node.col_offset + 1, reason))

    def check_number(self, node: ast.expr) -> tuple[_Subexpression, Range] | None:
        """The checked subexpression and its range, or None if it has problems or is a boolean."""
        part = self.check(node)
        if part is None:
            return None
        if part.range is None:
            self._report(node, "a number is needed here, this is true or false")
            return None
        return part, part.range

    def _check_boolean(self, node: ast.expr) -> _Subexpression | None:
        part = self.check(node)
        if part is not None and part.range is not None:
            self._report(node, "true or false is needed here, this is a number")
            return None
        return part

    def check(self, node: ast.expr) -> _Subexpression | None:
        """The checked subexpression, or None if it has problems."""
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
                return self._boolean_operation(node)
            case ast.IfExp():
                return self._conditional(node)
            case ast.Call():
                return self._call(node)
        self._report(node, "this is not part of the language")
        return None

    def _constant(self, node: ast.Constant) -> _Subexpression | None:
        value = node.value
        if isinstance(value, bool):
            return _Subexpression(lambda _: value, None, True)
        if isinstance(value, int | float) and abs(value) <= MAX_ABSOLUTE_VALUE:
            number = float(value)
            return _Subexpression(lambda _: number, Range(number, number), True)
        self._report(node, "only numbers up to 1e12, true and false are allowed")
        return None

    def _name(self, node: ast.Name) -> _Subexpression | None:
        bounds = self._inputs.get(node.id)
        if bounds is None:
            self._report(
                node, f"unknown name {node.id!r}; known: {', '.join(sorted(self._inputs))}"
            )
            return None
        name, low, high = node.id, bounds.low, bounds.high
        return _Subexpression(lambda inputs: min(max(inputs[name], low), high), bounds, False)

    def _unary(self, node: ast.UnaryOp) -> _Subexpression | None:
        if isinstance(node.op, ast.Not):
            operand = self._check_boolean(node.operand)
            if operand is None:
                return None
            evaluate_operand = operand.evaluate
            return _Subexpression(
                lambda inputs: not evaluate_operand(inputs), None, operand.constant
            )
        if not isinstance(node.op, ast.USub):
            self._report(node, "this is not part of the language")
            return None
        checked = self.check_number(node.operand)
        if checked is None:
            return None
        part, bounds = checked
        evaluate = part.evaluate
        return _Subexpression(
            lambda inputs: -evaluate(inputs), Range(-bounds.high, -bounds.low), part.constant
        )

    def _binary(self, node: ast.BinOp) -> _Subexpression | None:
        apply = _ARITHMETIC.get(type(node.op))
        if apply is None:
            self._report(node, "the only arithmetic operators are + - * /")
            return None
        left, right = self.check_number(node.left), self.check_number(node.right)
        if left is None or right is None:
            return None
        (left_part, left_range), (right_part, right_range) = left, right
        if isinstance(node.op, ast.Div) and right_range.low <= 0.0 <= right_range.high:
            self._report(
                node.right,
                f"may be zero (it ranges from {right_range.low:g} to {right_range.high:g})",
            )
            return None
        if isinstance(node.op, ast.Sub):
            corners = [left_range.low - right_range.high, left_range.high - right_range.low]
        elif isinstance(node.op, ast.Add):
            corners = [left_range.low + right_range.low, left_range.high + right_range.high]
        else:
            corners = [
                apply(a, b)
                for a in (left_range.low, left_range.high)
                for b in (right_range.low, right_range.high)
            ]
        if max(map(abs, corners)) > MAX_ABSOLUTE_VALUE:
            self._report(node, "may become larger than 1e12")
            return None
        evaluate_left, evaluate_right = left_part.evaluate, right_part.evaluate
        return _Subexpression(
            lambda inputs: apply(evaluate_left(inputs), evaluate_right(inputs)),
            Range(min(corners), max(corners)),
            left_part.constant and right_part.constant,
        )

    def _compare(self, node: ast.Compare) -> _Subexpression | None:
        parts = [self.check_number(n) for n in [node.left, *node.comparators]]
        comparisons = [_COMPARISONS.get(type(op)) for op in node.ops]
        if None in comparisons:
            self._report(node, "the only comparison operators are < <= > >= == !=")
            return None
        if any(p is None for p in parts):
            return None
        operands = [p[0].evaluate for p in parts if p is not None]
        pairwise_comparisons = [
            (compare, left, right)
            for compare, left, right in zip(comparisons, operands, operands[1:], strict=False)
            if compare
        ]
        constant = all(p[0].constant for p in parts if p is not None)
        return _Subexpression(
            lambda inputs: all(
                compare(left(inputs), right(inputs))
                for compare, left, right in pairwise_comparisons
            ),
            None,
            constant,
        )

    def _boolean_operation(self, node: ast.BoolOp) -> _Subexpression | None:
        parts = [self._check_boolean(n) for n in node.values]
        if any(p is None for p in parts):
            return None
        operands = [p.evaluate for p in parts if p is not None]
        combine = all if isinstance(node.op, ast.And) else any
        constant = all(p.constant for p in parts if p is not None)
        return _Subexpression(
            lambda inputs: combine(operand(inputs) for operand in operands), None, constant
        )

    def _conditional(self, node: ast.IfExp) -> _Subexpression | None:
        condition, if_true, if_false = (
            self._check_boolean(node.test),
            self.check_number(node.body),
            self.check_number(node.orelse),
        )
        if condition is None or if_true is None or if_false is None:
            return None
        (true_part, true_range), (false_part, false_range) = if_true, if_false
        evaluate_condition, evaluate_true, evaluate_false = (
            condition.evaluate,
            true_part.evaluate,
            false_part.evaluate,
        )
        return _Subexpression(
            lambda inputs: (
                evaluate_true(inputs) if evaluate_condition(inputs) else evaluate_false(inputs)
            ),
            Range(min(true_range.low, false_range.low), max(true_range.high, false_range.high)),
            condition.constant and true_part.constant and false_part.constant,
        )

    def _call(self, node: ast.Call) -> _Subexpression | None:
        name = node.func.id if isinstance(node.func, ast.Name) else ""
        if name not in ("min", "max") or node.keywords or len(node.args) < 2:
            self._report(node, "only min and max can be called, with two values or more")
            return None
        parts = [self.check_number(n) for n in node.args]
        if any(p is None for p in parts):
            return None
        arguments = [p for p in parts if p is not None]
        function: Callable[..., float] = min if name == "min" else max
        evaluators = [part.evaluate for part, _ in arguments]
        bounds = Range(
            function(r.low for _, r in arguments), function(r.high for _, r in arguments)
        )
        return _Subexpression(
            lambda inputs: function(evaluate(inputs) for evaluate in evaluators),
            bounds,
            all(part.constant for part, _ in arguments),
        )


def compile_expression(
    text: str, inputs: Mapping[str, Range], allowed: Range
) -> Expression | list[Diagnostic]:
    """Check an expression; return it compiled, or the problems found in it.

    `inputs` are the ranges of the inputs, `allowed` is the range that the value must stay in.
    """
    if len(text) > MAX_EXPRESSION_CHARACTERS:
        return [
            Diagnostic(
                MAX_EXPRESSION_CHARACTERS, f"longer than {MAX_EXPRESSION_CHARACTERS} characters"
            )
        ]
    if "\n" in text:
        return [Diagnostic(text.index("\n") + 1, "must be on one line")]
    try:
        tree = ast.parse(text.strip(), mode="eval")
    except (SyntaxError, ValueError, MemoryError, RecursionError) as exc:
        column = getattr(exc, "offset", None) or 1
        return [Diagnostic(column, "cannot be read as an expression")]
    if sum(1 for _ in ast.walk(tree)) > MAX_AST_NODES:
        return [Diagnostic(1, "too many parts")]
    checker = _Checker(inputs)
    checked = checker.check_number(tree.body)
    if checked is None:
        return checker.diagnostics
    part, bounds = checked
    if bounds.low < allowed.low or bounds.high > allowed.high:
        reason = (
            f"may be {bounds.low:g} to {bounds.high:g}, "
            f"allowed is {allowed.low:g} to {allowed.high:g}"
        )
        return [Diagnostic(1, reason)]
    return Expression(text, bounds, part.evaluate, part.constant)
