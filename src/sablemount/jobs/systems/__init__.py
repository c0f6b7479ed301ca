"""Systems that run over the tables of the job scheduler, one job each."""
