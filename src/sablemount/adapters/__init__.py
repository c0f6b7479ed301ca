"""HTTP servers, the connection pool, and adapters to the log service, VM list and workers."""
