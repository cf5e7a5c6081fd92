"""The operators' policy: keys, expression language, checker."""
