"""Workers: their reports, their commands, and what proves an end."""
