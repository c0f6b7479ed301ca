"""The processes of one system: leader election, communication, and the work of the leader."""
