"""Jobs: index for users' questions, queue and progress for the leader."""
