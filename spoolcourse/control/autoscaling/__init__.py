"""Autoscaling: reading the cloud's machine list, scale out and scale in.

An offer or kind of machine is a machine type in a zone, spot or on-demand. The reserve is the
on-demand machines kept for services.
"""
