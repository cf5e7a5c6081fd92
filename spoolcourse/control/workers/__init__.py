"""Workers: their heartbeats, their commands, and what proves an end."""
