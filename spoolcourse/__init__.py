"""spoolcourse: a cluster scheduler whose service runs on a few controllers."""

__version__ = "0.1.0"
