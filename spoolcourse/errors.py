"""Errors that end a command with a message instead of a traceback."""


class UserError(Exception):
    """An error that the user of a command can correct; shown without a traceback."""
