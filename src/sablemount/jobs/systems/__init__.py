"""Systems of the job scheduler, each of which performs one function on its tables."""
