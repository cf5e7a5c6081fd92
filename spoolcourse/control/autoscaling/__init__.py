"""Autoscaling: the cloud's machine list, scale out and scale in."""
