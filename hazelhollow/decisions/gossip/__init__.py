"""Gossip between limiters: charges, levels of quotas, and observations of endpoints."""
