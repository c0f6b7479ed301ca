"""Scheduling of jobs: steps of tasks under leases, one leader, state kept in a store."""
