"""The HTTP API for users: submissions, job states and cancellations."""
