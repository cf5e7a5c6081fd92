"""Failover trials: controller processes on loopback, fakes served over HTTP, a history checker."""
