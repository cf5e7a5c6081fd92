"""The key-value store: client, budgets, watch cache, keys and records."""
