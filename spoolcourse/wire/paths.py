"""Paths of the requests between the components."""

# To a controller's public address, and to that for its peers.
HEARTBEAT = "/v1/report"
SUBMISSIONS = "/submissions"
CANCEL = "withdraw"  # the last part of a cancellation's path
HEALTH = "/healthz"
# To the peers' address alone.
CANCELLATIONS = "/cancellations"
LEVEL = "/level"
HINTS = "/hints"
STANDBY = "/standby"
HANDOVER = "/handover"
STATUS = "/status"
METRICS = "/metrics"
# To a machine.
COMMANDS = "/orders"
SHOW = "/show"
# To the cloud.
CATALOG = "/catalog"
HOSTS = "/hosts"
HOSTS_DELETE = "/hosts/delete"
# To the key-value store.
TRANSACTION = "/multi"
LEASES = "/holds"
