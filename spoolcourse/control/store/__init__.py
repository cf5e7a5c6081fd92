"""The state service: client, budgets, watch cache, keys and records."""
