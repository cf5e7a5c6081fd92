"""Election, term, and what a leader may not know."""
