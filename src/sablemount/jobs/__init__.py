"""The job scheduler: steps of tasks run under leases, with one leader and its state in a store."""
