"""The parts of a leader, for one term."""
