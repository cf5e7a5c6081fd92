"""Components of the leader that live for one term."""
