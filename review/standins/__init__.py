"""Stand-ins for the state service, the cloud, its workers and users, over HTTP on loopback.

They follow PROTOCOL. Everything runs in one process, apart from the controllers, which are started
with the command of the deploy file.
"""
