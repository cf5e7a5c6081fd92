"""The key-value store: client, errors, budget, watch cache, keys and records."""
