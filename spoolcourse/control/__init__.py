"""The control plane: the code that runs on every controller, as leader or follower."""
