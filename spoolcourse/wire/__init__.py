"""Messages between controllers, workers, users, the cloud and the store; and settings files."""
