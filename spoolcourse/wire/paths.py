"""Paths of the requests between the components."""

# Served at a controller's public address and at its peer address.
HEARTBEAT = "/v1/report"
SUBMISSIONS = "/submissions"
CANCEL = "withdraw"  # the last segment of a cancellation's path
HEALTH = "/healthz"
# Served at a controller's peer address only.
CANCELLATIONS = "/cancellations"
FEATURE_LEVEL = "/level"
HINTS = "/hints"  # what the leader knows of workers, for followers
STANDBY = "/standby"  # whether a follower is caught up
HANDOVER = "/handover"  # transfers leadership
STATUS = "/status"
METRICS = "/metrics"
# Served by a worker.
COMMANDS = "/orders"
WORKER_STATE = "/show"  # returns a heartbeat
# Served by the cloud.
CATALOG = "/catalog"
HOSTS = "/hosts"  # GET lists machines, POST provisions them
HOSTS_DELETE = "/hosts/delete"
# Served by the key-value store.
TRANSACTION = "/multi"
LEASES = "/holds"  # the store's leases, not those of workers
