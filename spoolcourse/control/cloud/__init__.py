"""The cloud's API: client and machine catalog."""
