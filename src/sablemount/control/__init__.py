"""The processes of one system: who leads, how they talk, and what the leader keeps going."""
