"""Election, terms, fenced writes, and until when a leader may renew the leases of workers."""
