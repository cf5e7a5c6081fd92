"""Machines: listing, renting, returning."""
