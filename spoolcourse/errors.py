"""Errors that end a command with one clear line."""


class UserError(Exception):
    """Something the caller of a command can put right; shown without a traceback."""
